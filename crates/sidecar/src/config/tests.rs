use super::*;

/// The settings that `tests/stubs` uses, with one class.
const SETTINGS: &str = r#"{"Balancers":1,"Discovery":"on_request","Index":0,
"Lanes":[{"AimUs":8000000,"DeadlineUs":20000000,"Effect":"pure","Name":"look"}],
"Limits":{"DialTimeoutUs":5000000,"IdleCloseUs":2000000,"MaxAttempts":3,"MaxRetryAfterUs":2000000,"RetryAfter":true,"MayCancel":true,"MayDuplicate":true},
"Rules":{"AskWithinUs":2000000,"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":1500000,"WarmWithinUs":8900000},
"Tenants":[{"Name":"acme","QuotaPerS":98.0,"Share":1.0}],"TickUs":5000,"WeightSource":"nominal","Zone":"a","Zones":["a"]}"#;

fn read(registry: &str) -> Result<Config, String> {
    let text =
        format!(r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2",{registry}"settings":{SETTINGS}}}"#);
    Config::read(&text, None, None)
}

#[test]
fn takes_the_registry_under_either_key() {
    for key in ["registry", "roster"] {
        let part =
            format!(r#""{key}":{{"addresses":["127.0.0.1:7400"],"hold_back":0.25,"services":["a"]}},"#);
        let registry = read(&part).expect("it is read").registry.expect("a registry");
        assert_eq!(registry.addresses, ["127.0.0.1:7400".parse().expect("an address")], "{key}");
        assert_eq!((registry.max_removed_share, registry.services.len()), (Some(0.25), 1), "{key}");
    }
    assert!(read("").expect("it is read").registry.is_none());
}

#[test]
fn refuses_a_registry_that_can_not_be_used() {
    for key in ["registry", "roster"] {
        let error = read(&format!(r#""{key}":{{"addresses":[]}},"#)).err();
        assert_eq!(error.as_deref(), Some("roster: addresses: at least one is wanted"), "{key}");
    }
    let address = r#"{"addresses":["127.0.0.1:7400"]}"#;
    assert!(read(&format!(r#""registry":{address},"roster":{address},"#)).is_err(), "both keys");
}

//! The commands `ottercroft lists` and `ottercroft check`.

use super::*;

// Scripts depend on the exit codes: 0 valid, 1 faulty or different, 2 nothing to check.
#[test]
fn commands_report_all_faults_and_set_exit_codes() {
    let (fixture, at) = (fixture(), "10.0.0.1:1".parse().unwrap());
    let file = text(&fixture.list);
    let config = fixture.dir.join("config.json");
    std::fs::write(&config, Launch::new(PROGRAM, &fixture.dir).config(at, &[])).unwrap();
    let config = text(&config);
    fixture.write_sealed(&list(&[("e1", at, ""), ("e2", "10.0.0.2:1".parse().unwrap(), "")]));
    let code = |arguments: &[&str]| {
        let out = cli(arguments);
        let all = [out.stdout, out.stderr].concat();
        (out.status.code().unwrap(), String::from_utf8(all).unwrap())
    };
    assert_eq!(code(&["lists", "check", &file, "--config", &config]).0, 0);
    assert!(code(&["lists", "show", &file]).1.contains("seal holds"));
    let other = fixture.dir.join("other.hcl");
    std::fs::write(&other, list(&[("e1", at, "weight = 0"), ("e1", at, "")])).unwrap();
    let other = text(&other);
    let (n, output) = code(&["lists", "check", &other, "--config", &config]);
    for what in ["no seal", "a second motor of this uid", "is also the address", "3 faults"] {
        assert!(n == 1 && output.contains(what), "{n} {output}");
    }
    let (n, output) = code(&["lists", "check", &other, "--json"]);
    let json: serde_json::Value = serde_json::from_str(&output).unwrap();
    assert_eq!((n, json["ok"].as_bool(), json["faults"].as_array().unwrap().len()), (1, Some(false), 3));
    assert_eq!(code(&["lists", "diff", &file, &file]).0, 0);
    let (n, output) = code(&["lists", "diff", &file, &other]);
    assert!(n == 1 && output.contains("- e2"), "{output}");
    std::fs::write(&other, list(&[("e3", at, "")])).unwrap();
    assert!(code(&["lists", "diff", &file, &other]).1.contains("held back: takes away 100% of a"));
    for unusable in
        [&["lists", "check", "/nowhere"][..], &["lists", "accept", "xyz", "--list", &file], &["serv"]]
    {
        assert_eq!(code(unusable).0, 2, "{unusable:?}");
    }
    assert_eq!(code(&["check", &config]).0, 0);
    let wrong = fixture.dir.join("settings.hcl");
    std::fs::write(&wrong, "motor_lists {\n  setle = \"1s\"\n}\n").unwrap();
    let (n, output) = code(&["check", &config, "--settings", &text(&wrong)]);
    assert!(n == 1 && output.contains("settings.hcl:2:3: motor_lists.setle: unknown key"), "{output}");
}

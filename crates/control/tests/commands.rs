//! The texts generated from the command descriptions.

use driftfront_control::commands::{completions, help, manual, COMMANDS};

#[test]
fn help_completions_and_manual_name_every_command_and_option() {
    let all = [
        help(),
        completions("bash").expect("known"),
        completions("zsh").expect("known"),
        manual(),
    ];
    for command in COMMANDS {
        assert!(
            all.iter().all(|text| text.contains(command.name)),
            "{}",
            command.name
        );
        for option in command.options {
            let name = option.name;
            let escaped = name.replace('-', "\\-");
            assert!(
                all.iter()
                    .all(|text| text.contains(name) || text.contains(&escaped)),
                "{name}"
            );
        }
    }
    assert!(
        completions("fish").is_some_and(|f| f.contains("-l force"))
            && completions("tcsh").is_none()
    );
}

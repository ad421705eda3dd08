//! Shell completions.

use super::{CommandOption, COMMANDS};

/// The completion script for a shell; `None` if the shell is not supported.
pub fn completions(shell: &str) -> Option<String> {
    match shell {
        "bash" => Some(bash()),
        "zsh" => Some(zsh()),
        "fish" => Some(fish()),
        _ => None,
    }
}

fn bash() -> String {
    let mut text = String::from(
        "_driftfront() {\n  local cur=${COMP_WORDS[COMP_CWORD]}\n  case ${COMP_WORDS[1]} in\n",
    );
    let case = |pattern: &str, words: &[&str]| {
        let words = words.join(" ");
        format!("    {pattern}) COMPREPLY=($(compgen -W \"{words}\" -- \"$cur\")) ;;\n")
    };
    for command in COMMANDS {
        let options: Vec<&str> = command.all_options().map(|option| option.name).collect();
        text += &case(command.name, &options);
    }
    let names: Vec<&str> = COMMANDS.iter().map(|command| command.name).collect();
    text += &case("*", &names);
    text + "  esac\n}\ncomplete -F _driftfront driftfront\n"
}

fn zsh() -> String {
    let quote = |text: &str| text.replace('\'', "'\\''");
    let mut text =
        String::from("#compdef driftfront\n_driftfront() {\n  local -a commands\n  commands=(\n");
    for command in COMMANDS {
        text += &format!("    '{}:{}'\n", command.name, quote(command.about));
    }
    text += "  )\n  if (( CURRENT == 2 )); then _describe command commands; return; fi\n  case $words[2] in\n";
    let argument = |option: &CommandOption| format!("'{}[{}]'", option.name, quote(option.about));
    for command in COMMANDS {
        let arguments: Vec<String> = command.all_options().map(argument).collect();
        if !arguments.is_empty() {
            let arguments = arguments.join(" ");
            text += &format!("    {}) _arguments {arguments} ;;\n", command.name);
        }
    }
    text + "  esac\n}\n_driftfront\n"
}

fn fish() -> String {
    let quote = |text: &str| text.replace('\'', "\\'");
    let mut text = String::new();
    for command in COMMANDS {
        let (name, about) = (command.name, quote(command.about));
        text +=
            &format!("complete -c driftfront -n __fish_use_subcommand -a {name} -d '{about}'\n");
        for option in command.all_options() {
            let (long, about) = (option.name.trim_start_matches('-'), quote(option.about));
            text += &format!(
                "complete -c driftfront -n '__fish_seen_subcommand_from {name}' -l {long} -d '{about}'\n"
            );
        }
    }
    text
}

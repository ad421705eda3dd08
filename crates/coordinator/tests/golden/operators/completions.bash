$ driftfront completions bash
[0]
_driftfront() {
  local cur=${COMP_WORDS[COMP_CWORD]}
  case ${COMP_WORDS[1]} in
    serve) COMPREPLY=($(compgen -W "--config --log" -- "$cur")) ;;
    check) COMPREPLY=($(compgen -W "--config" -- "$cur")) ;;
    init) COMPREPLY=($(compgen -W "" -- "$cur")) ;;
    demo) COMPREPLY=($(compgen -W "--plain" -- "$cur")) ;;
    console) COMPREPLY=($(compgen -W "--plain --no-color --at --key-file" -- "$cur")) ;;
    status) COMPREPLY=($(compgen -W "--json --at --key-file" -- "$cur")) ;;
    engines) COMPREPLY=($(compgen -W "--json --at --key-file" -- "$cur")) ;;
    members) COMPREPLY=($(compgen -W "--json --at --key-file" -- "$cur")) ;;
    holds) COMPREPLY=($(compgen -W "--json --at --key-file" -- "$cur")) ;;
    hold) COMPREPLY=($(compgen -W "--for --stays --note --at --key-file" -- "$cur")) ;;
    unhold) COMPREPLY=($(compgen -W "--at --key-file" -- "$cur")) ;;
    classes) COMPREPLY=($(compgen -W "--json --at --key-file" -- "$cur")) ;;
    queries) COMPREPLY=($(compgen -W "--json --at --key-file" -- "$cur")) ;;
    events) COMPREPLY=($(compgen -W "--follow --json --at --key-file" -- "$cur")) ;;
    drain) COMPREPLY=($(compgen -W "--wait --force --at --key-file" -- "$cur")) ;;
    resume) COMPREPLY=($(compgen -W "--at --key-file" -- "$cur")) ;;
    pause) COMPREPLY=($(compgen -W "--at --key-file" -- "$cur")) ;;
    unpause) COMPREPLY=($(compgen -W "--at --key-file" -- "$cur")) ;;
    add) COMPREPLY=($(compgen -W "--zone --kind --at --key-file" -- "$cur")) ;;
    remove) COMPREPLY=($(compgen -W "--force --at --key-file" -- "$cur")) ;;
    roll) COMPREPLY=($(compgen -W "--dry-run --back --stop --go-on --at --key-file" -- "$cur")) ;;
    counters) COMPREPLY=($(compgen -W "--at" -- "$cur")) ;;
    completions) COMPREPLY=($(compgen -W "" -- "$cur")) ;;
    manual) COMPREPLY=($(compgen -W "" -- "$cur")) ;;
    version) COMPREPLY=($(compgen -W "" -- "$cur")) ;;
    *) COMPREPLY=($(compgen -W "serve check init demo console status engines members holds hold unhold classes queries events drain resume pause unpause add remove roll counters completions manual version" -- "$cur")) ;;
  esac
}
complete -F _driftfront driftfront

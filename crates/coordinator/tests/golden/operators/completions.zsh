$ driftfront completions zsh
[0]
#compdef driftfront
_driftfront() {
  local -a commands
  commands=(
    'serve:runs a coordinator'
    'check:checks a configuration and prints its settings, or its errors with their positions'
    'init:writes a commented configuration file (default driftfront.kdl)'
    'demo:starts a coordinator, three mock engines and a light load, and opens the console'
    'console:opens an interactive console with engines, classes, queries and events'
    'status:prints a summary of the state'
    'engines:lists the engines'
    'members:lists the fleet'\''s coordinators, as known to this one'
    'holds:lists the holds in the fleet, and the voters'
    'hold:takes a fleet-wide hold; each name can be held only once at a time'
    'unhold:releases a hold, whoever took it'
    'classes:lists the classes and their service statistics'
    'queries:lists the running queries, imports first'
    'events:prints the recent events'
    'drain:sends no new work to an engine until it is resumed'
    'resume:lifts the drain of an engine'
    'pause:disconnects the clients; the program keeps running, and answers accepted requests'
    'unpause:ends a pause'
    'add:adds an engine that no source lists, or lifts its removal'
    'remove:removes an engine from the list, even if sources list it'
    'roll:drains engines one at a time for repair or restart; all if none is named'
    'counters:prints the counters of a running coordinator'
    'completions:prints completions for bash, zsh or fish'
    'manual:prints the manual page'
    'version:prints the version'
  )
  if (( CURRENT == 2 )); then _describe command commands; return; fi
  case $words[2] in
    serve) _arguments '--config[the configuration file (default $LB_CONFIG)]' '--log[error, warn, info (the default) or debug]' ;;
    check) _arguments '--config[the configuration file (default $LB_CONFIG)]' ;;
    demo) _arguments '--plain[prints the state as text, and exits]' ;;
    console) _arguments '--plain[prints the state as text and exits, for pipes and screen readers]' '--no-color[disables colours, like NO_COLOR]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    status) _arguments '--json[prints JSON objects, one per line, for scripts]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    engines) _arguments '--json[prints JSON objects, one per line, for scripts]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    members) _arguments '--json[prints JSON objects, one per line, for scripts]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    holds) _arguments '--json[prints JSON objects, one per line, for scripts]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    hold) _arguments '--for[the duration, such as 30s, 10m or 2h (default 10m)]' '--stays[keeps the hold after that time, until it is released]' '--note[the reason, for other operators]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    unhold) _arguments '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    classes) _arguments '--json[prints JSON objects, one per line, for scripts]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    queries) _arguments '--json[prints JSON objects, one per line, for scripts]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    events) _arguments '--follow[keeps printing new events until interrupted]' '--json[prints JSON objects, one per line, for scripts]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    drain) _arguments '--wait[waits until nothing runs there any more]' '--force[drains it even if it is the last engine that takes work]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    resume) _arguments '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    pause) _arguments '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    unpause) _arguments '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    add) _arguments '--zone[its zone (a building)]' '--kind[its machine kind]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    remove) _arguments '--force[removes it even if it takes work]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    roll) _arguments '--dry-run[only prints the plan]' '--back[confirms that the engine that was handed over is back]' '--stop[stops the rolling restart]' '--go-on[resumes a stopped rolling restart]' '--at[the control socket, or ADDRESS of the control port (default $DRIFTFRONT_CONTROL)]' '--key-file[the file with the key of the control port]' ;;
    counters) _arguments '--at[the address that the coordinator'\''s clients connect to]' ;;
  esac
}
_driftfront

$ driftfront completions zsh
[0]
#compdef driftfront
_driftfront() {
  local -a commands
  commands=(
    'serve:runs a coordinator'
    'check:reads a configuration and says what it means, or what is wrong and where'
    'init:writes a commented operator'\''s file, driftfront.kdl without a name'
    'demo:starts a coordinator, three stand-in engines and a gentle load, and opens the console'
    'console:shows engines, classes, service and drains, and takes commands by keys'
    'status:says in a few lines how things stand'
    'engines:lists the engines'
    'members:lists the fleet'\''s coordinators, as this one knows them'
    'holds:lists what is held over the whole fleet, and who decides'
    'hold:takes a hold over the whole fleet: of one name only one is held'
    'unhold:gives a hold back, whoever took it'
    'classes:lists the classes and how well they are served'
    'queries:lists what runs, imports first'
    'events:says what has happened'
    'drain:lets nothing new go to an engine, until it is resumed'
    'resume:lifts a drain'
    'pause:sends the clients away; the program stays, and answers what it has taken'
    'unpause:back to work after a pause'
    'add:adds an engine that no source lists, or lifts its removal'
    'remove:takes an engine out of the list, whatever sources say'
    'roll:takes engines out one after another, all without a name'
    'counters:prints a running coordinator'\''s counters'
    'completions:prints completions for bash, zsh or fish'
    'manual:prints the manual page'
    'version:prints the version'
  )
  if (( CURRENT == 2 )); then _describe command commands; return; fi
  case $words[2] in
    serve) _arguments '--config[the operator'\''s file; without it $LB_CONFIG names it]' '--log[error, warn, info (without it) or debug]' ;;
    check) _arguments '--config[the operator'\''s file; without it $LB_CONFIG names it]' ;;
    demo) _arguments '--plain[says how things stand as text, and ends]' ;;
    console) _arguments '--plain[the same as text, once, for pipes and screen readers]' '--no-color[no colours; also by NO_COLOR]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    status) _arguments '--json[for scripts: the protocol'\''s own objects, one a line]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    engines) _arguments '--json[for scripts: the protocol'\''s own objects, one a line]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    members) _arguments '--json[for scripts: the protocol'\''s own objects, one a line]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    holds) _arguments '--json[for scripts: the protocol'\''s own objects, one a line]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    hold) _arguments '--for[for how long, as 30s, 10m or 2h; 10m where nothing is said]' '--stays[beyond that, until it is given back]' '--note[why, for the others]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    unhold) _arguments '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    classes) _arguments '--json[for scripts: the protocol'\''s own objects, one a line]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    queries) _arguments '--json[for scripts: the protocol'\''s own objects, one a line]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    events) _arguments '--follow[and what happens, until it is interrupted]' '--json[for scripts: the protocol'\''s own objects, one a line]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    drain) _arguments '--wait[until nothing runs there any more]' '--force[also the last engine that takes work]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    resume) _arguments '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    pause) _arguments '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    unpause) _arguments '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    add) _arguments '--zone[its building]' '--kind[its machine kind]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    remove) _arguments '--force[also one that takes work]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    roll) _arguments '--dry-run[only says the plan]' '--back[the engine that was handed over is back]' '--stop[stops the roll]' '--go-on[lets a stopped roll go on]' '--at[its control socket, or ADDRESS of its control port; $DRIFTFRONT_CONTROL without it]' '--key-file[the key of its control port]' ;;
    counters) _arguments '--at[where its clients connect]' ;;
  esac
}
_driftfront

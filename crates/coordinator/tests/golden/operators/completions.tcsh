$ driftfront completions tcsh
[2]
driftfront: no completions for tcsh: bash, zsh or fish

# Bash completion for olivevalvectl: source this file.
_olivevalvectl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
  local commands="apply diff check get set delete version versions rollout drain undrain status nodes bills watch remove-member quarantine release halls evacuate restore duties key link-keys"
  local options="--control --key-file --output --file --change-id --timeout --count --help"
  case $previous in
    -f | --file | -k | --key-file) COMPREPLY=($(compgen -f -- "$word")) ;;
    -o | --output) COMPREPLY=($(compgen -W "table json" -- "$word")) ;;
    version) COMPREPLY=($(compgen -W "roll-out pause resume activate withdraw" -- "$word")) ;;
    get | set | delete) COMPREPLY=($(compgen -W "model template account upstream service node placement halls" -- "$word")) ;;
    *) COMPREPLY=($(compgen -W "$commands $options" -- "$word")) ;;
  esac
}
complete -F _olivevalvectl olivevalvectl

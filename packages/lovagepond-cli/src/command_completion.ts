/**
 * Shell completion of commands and options, for bash and zsh.
 */
import {type Command} from 'commander';
import {PROGRAM_NAME} from './cli_constants.js';

/** Subcommands and options by command path, such as `ctl pools`. */
export type CompletionWords = ReadonlyMap<string, readonly string[]>;

/**
 * @param command the program or one of its commands
 * @param path names of the command and its parents, joined by spaces
 * @returns the subcommands and options of each command path
 */
export function collectWords(command: Command, path = ''): CompletionWords {
  const names = command.commands.map(child => child.name());
  const flags = command.options.flatMap(option => option.long ?? []);
  const words = new Map([[path, [...names, ...flags, '--help']]]);
  for (const child of command.commands) {
    const childPath = `${path} ${child.name()}`.trim();
    for (const [key, value] of collectWords(child, childPath)) {
      words.set(key, [...value]);
    }
  }
  return words;
}

/**
 * @param words subcommands and options by command path
 * @returns a script to be sourced by bash, or by zsh with bashcompinit
 */
export function renderCompletion(words: CompletionWords): string {
  const cases = [...words].map(
    ([path, next]) => `    '${path}') words='${next.join(' ')}' ;;`,
  );
  return `# ${PROGRAM_NAME} completion: source <(${PROGRAM_NAME} completion)
if [ -n "\${ZSH_VERSION-}" ]; then autoload -U +X bashcompinit; bashcompinit; fi
_${PROGRAM_NAME}() {
  local path='' words='' word
  for word in "\${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in -*) ;; *) path="\${path:+$path }$word" ;; esac
  done
  case "$path" in
${cases.join('\n')}
  esac
  COMPREPLY=($(compgen -W "$words" -- "\${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _${PROGRAM_NAME} ${PROGRAM_NAME}
`;
}

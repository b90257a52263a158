/** Writes a bundled program and its code caches; see platform_program.mjs. */
export function writeProgram(program: {
  readonly folder: string;
  readonly loader: string;
  readonly text: string;
  readonly roles: readonly string[];
  readonly rehearse?: (args: readonly string[]) => void;
}): void;

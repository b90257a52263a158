import {describe, expect, it} from 'vitest';
import {collectWords, renderCompletion} from '../../command_completion.js';
import {createProgram} from '../../command_line.js';

describe('command line', () => {
  it('shows examples and exit codes in its help', () => {
    let help = '';
    const program = createProgram();
    program.configureOutput({
      writeOut: text => {
        help += text;
      },
    });
    program.outputHelp();
    expect(help).toMatch(/Examples:\n {2}\$ lovagepond standalone/);
    expect(help).toMatch(/3 {2}the settings have faults/);
    for (const name of ['router', 'sidecar', 'control', 'check-settings']) {
      expect(help).toContain(name);
    }
  });

  it('completes commands and their options', () => {
    const words = collectWords(createProgram());
    expect(words.get('')).toEqual(
      expect.arrayContaining(['router', 'version']),
    );
    expect(words.get('router')).toContain('--settings');
    expect(renderCompletion(words)).toContain(
      "'check-settings') words='--json",
    );
  });
});

import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {runExplain} from '../../command_explain.js';

/** Log lines recorded from running processes. */
const LOGS = fileURLToPath(
  new URL('../../../../../examples/logs/three_failures.jsonl', import.meta.url),
);

async function explain(
  question: Parameters<typeof runExplain>[0],
): Promise<{code: number; text: string}> {
  let text = '';
  const out = {
    write: (part: string) => {
      text += part;
    },
  };
  const code = await runExplain(question, [LOGS], out);
  return {code, text};
}

describe('explain', () => {
  // A caller's stream breaks off. The report on its request id must name the
  // server that failed and the other requests that failed there.
  it('reports the server that a broken stream came from', async () => {
    const {code, text} = await explain({request: '1911351f60f4c715'});
    expect(code).toBe(0);
    expect(text).toContain('server=i-c06d79049a');
    expect(text).toContain('6 other attempts failed at the same server');
    expect(text).toContain('cause: the server broke off (other side closed)');
  });

  // A gateway without a control subscription refuses callers while servers are
  // idle.
  it('reports that a gateway refused a request without control', async () => {
    const {text} = await explain({request: '0816b71c6f79faa2'});
    expect(text).toContain('revision 1 (version 2) since');
    expect(text).toContain('control: lost 10.3.0.15:7360');
    expect(text).toContain('cause: control had not confirmed');
  });

  it('reports the configuration revision behind a refused key', async () => {
    const {text} = await explain({request: 'f77085b8a5369c1e'});
    expect(text).toContain('status=401 revision=1');
    expect(text).toContain('cause: revision 1 has no such key');
  });

  it('reports the state of processes at a time, without later lines', async () => {
    const early = await explain({at: '2026-08-25T17:45:24.100Z'});
    expect(early.text).toContain('frontend-muc-freimann-2/gateway');
    expect(early.text).not.toContain('revision');
    const later = await explain({at: '1787679948003'});
    expect(later.text).toContain('11 backend servers since');
  });

  it('reports the consensus state of a control member', async () => {
    const {text} = await explain({at: '2027-01-01T00:00:00Z'});
    expect(text).toMatch(/d1d958e7 is preCandidate in term 3 of c2e14eb0@/);
    expect(text).toContain('log up to 129, 93 committed');
  });

  // The shares of the causes must add up to all unanswered requests, so that
  // none is left without a cause.
  it('summarises all requests by rule, cause and window', async () => {
    const {code, text} = await explain({summary: true});
    expect(code).toBe(0);
    expect(text).toMatch(/^\d+ requests ended, \d+ answered by a server/);
    expect(text).toContain('| refused: unauthorized |');
    expect(text).toContain('broken: other side closed');
    const [, lostText = ''] = text.split('| not answered | requests | share |');
    const [causes = ''] = lostText.split('| from |');
    const shares = [...causes.matchAll(/\| ([\d.]+) % \|/g)];
    const sum = shares.reduce((all, [, share]) => all + Number(share), 0);
    expect(Math.abs(sum - 100)).toBeLessThan(1);
  });

  it('fails for an unknown request and for invalid arguments', async () => {
    expect((await explain({request: 'none'})).code).toBe(10);
    expect((await explain({})).code).toBe(2);
    expect((await explain({request: 'none', summary: true})).code).toBe(2);
    expect((await explain({at: 'noon'})).code).toBe(2);
  });
});

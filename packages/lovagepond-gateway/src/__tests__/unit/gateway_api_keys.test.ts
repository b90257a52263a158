import {configurationSchema, Random} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {GatewayAdmission, type KeyedRequest} from '../../gateway_admission.js';
import {type RequestFacts} from '../../gateway_headers.js';
import {KEY} from './gateway_caller.js';
import {CONTENT} from './gateway_content.js';

const NOW = {now: 1_000, wallTime: 1_000};
const PATH = '/read/a';

/** One configuration after the other. */
class Play {
  readonly admission = new GatewayAdmission(5_000, new Random(1));
  #revision = 0;

  install(changed: Readonly<Record<string, unknown>>): void {
    this.#revision += 1;
    const content = configurationSchema.parse({...CONTENT, ...changed});
    this.admission.install({revision: this.#revision, content});
    this.admission.authority.confirm(this.#revision, NOW, NOW.now);
  }

  /** @returns the admitted request, or the error that it is refused with */
  admit(apiKey: string): KeyedRequest | string {
    const facts = {requestId: 'q', apiKey} as unknown as RequestFacts;
    const head = {host: 'shop.example', path: PATH, facts};
    const admission = this.admission.admit(head, NOW.now, NOW);
    if (!admission.ok) return admission.error;
    return {...admission.admitted, facts, path: PATH};
  }

  /** @returns the error that ends the request before it is sent, if any */
  refusalOf(req: KeyedRequest | string): string | undefined {
    if (typeof req === 'string') throw new Error(`refused: ${req}`);
    return this.admission.refusalOfKey(req, NOW);
  }
}

const PUBLIC = CONTENT.selectors.map(one => ({...one, public: true}));
const REVOKED = {workspaces: [], documentVersion: 7};
const KEYLESS = {workspaces: [], requiresApiKeys: false};

describe('without a workspace', () => {
  // Guards against requests that run with a removed key, or with any other.
  it.each([
    [REVOKED, 'unauthorized'],
    [{workspaces: [], requiresApiKeys: true}, 'unauthorized'],
  ])('a configuration with %j refuses all keys', (changed, error) => {
    const play = new Play();
    play.install({});
    play.install(changed);
    expect(play.admit(KEY)).toBe(error);
    expect(play.admit('never-valid')).toBe(error);
    expect(play.admit('')).toBe(error);
  });

  it('a configuration that says that it needs no keys takes all requests', () => {
    const play = new Play();
    play.install(KEYLESS);
    expect(play.admit('')).toMatchObject({workspace: undefined});
  });

  it('a public selector takes all requests', () => {
    const play = new Play();
    play.install({...REVOKED, selectors: PUBLIC});
    expect(play.refusalOf(play.admit(''))).toBeUndefined();
  });
});

// Guards against a request that is sent although its key was removed while it
// waited, or although it has been admitted without one that is needed now.
describe('a request that waits', () => {
  it.each([
    ['with its key', {}, KEY, {}, undefined],
    ['with the last key removed', {}, KEY, REVOKED, 'unauthorized'],
    ['with no key needed any more', {}, KEY, KEYLESS, undefined],
    ['without a key, now needed', KEYLESS, '', {}, 'unauthorized'],
    ['with a key, now needed', KEYLESS, KEY, {}, 'notReady'],
    ['as public, no more', {selectors: PUBLIC}, '', {}, 'unauthorized'],
    ['as public', {selectors: PUBLIC}, '', {selectors: PUBLIC}, undefined],
    ['with its key, now public', {}, KEY, {selectors: PUBLIC}, undefined],
  ])('%s', (_what, before, key, after, error) => {
    const play = new Play();
    play.install(before);
    const req = play.admit(key);
    play.install(after);
    expect(play.refusalOf(req)).toBe(error);
  });
});

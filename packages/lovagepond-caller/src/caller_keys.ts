/**
 * Idempotency keys of the requests in flight in this process.
 */
import {makeFailure, type Result, type Unregister} from '@lovagepond/core';
import {type CallerRequest} from './caller_types.js';

interface KeyUse {
  readonly digest: string;
  uses: number;
}

/**
 * Rejects a request whose key is in flight with another path or body, before
 * the handler is called. Keys used earlier or at other processes are covered by
 * the control plane's ledger.
 */
export class KeysInFlight {
  readonly #uses = new Map<string, KeyUse>();

  /**
   * @param request a request about to be passed to the handler
   * @returns a function that releases the key, or the failure `keyReuse`
   */
  claim(request: CallerRequest): Result<Unregister> {
    if (request.idempotencyKey === undefined) {
      return {ok: true, value: () => {}};
    }
    const name = `${request.workspace}\0${request.idempotencyKey}`;
    const digest = Buffer.from(request.bodyDigest).toString('base64');
    const use = this.#uses.get(name) ?? {digest, uses: 0};
    if (use.digest !== digest) {
      return {ok: false, failure: makeFailure('keyReuse')};
    }
    use.uses += 1;
    this.#uses.set(name, use);
    let held = true;
    const release = (): void => {
      if (!held) return;
      held = false;
      use.uses -= 1;
      if (use.uses === 0) this.#uses.delete(name);
    };
    return {ok: true, value: release};
  }

  get size(): number {
    return this.#uses.size;
  }
}

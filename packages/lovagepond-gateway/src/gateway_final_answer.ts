/**
 * The end of a request without a successful response: what its caller gets.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type BufferedFailure} from './gateway_buffered_failure.js';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type ExchangeServers} from './gateway_exchange_servers.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';
import {type FinalStep} from './gateway_outcome.js';
import {type GatewayQuarantine} from './gateway_quarantine.js';

export interface FinalAnswerDependencies {
  readonly caller: CallerChannel;
  readonly quarantine: GatewayQuarantine;
  readonly servers: ExchangeServers;
}

export class FinalAnswer {
  readonly #req: Pick<AdmittedRequest, 'subjects'>;
  readonly #deps: FinalAnswerDependencies;
  /** The last complete error response of a server. */
  failure: BufferedFailure | undefined;

  /**
   * @param req the request
   * @param deps its channel to the caller, and its servers
   */
  constructor(
    req: Pick<AdmittedRequest, 'subjects'>,
    deps: FinalAnswerDependencies,
  ) {
    this.#req = req;
    this.#deps = deps;
  }

  /**
   * @param step what to send
   * @param now current time, monotonic milliseconds
   * @returns the request's outcome
   */
  send(step: FinalStep, now: number): string {
    const {caller} = this.#deps;
    if (step.kind === 'cut') {
      caller.cut();
      return 'cut';
    }
    if (step.kind === 'passFailure') {
      this.failure?.sendTo(caller);
      return 'failed';
    }
    this.#refuse(step.error, now);
    return step.error;
  }

  /**
   * @param runs attempts that may have run
   * @param errorIfNotRun the error to send when none has
   * @param now current time, monotonic milliseconds
   * @returns the request's outcome
   */
  giveUp(runs: number, errorIfNotRun: ErrorKind, now: number): string {
    if (this.#deps.caller.headSent) return this.send({kind: 'cut'}, now);
    if (this.failure) return this.send({kind: 'passFailure'}, now);
    const error = runs > 0 ? 'backendFailed' : errorIfNotRun;
    return this.send({kind: 'refuse', error}, now);
  }

  #refuse(error: ErrorKind, now: number): void {
    const {caller, quarantine, servers} = this.#deps;
    const notBeforeMs =
      quarantine.quarantinedForMs(this.#req.subjects, now) ??
      servers.eligible.unavailableMs(now);
    caller.refuse(error, {notBeforeMs});
  }
}

/**
 * What was true of a request when it was admitted, and must still be true when it
 * is sent to a server. Its body, the queue, permits and retries may have taken
 * seconds in between.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type GatewayAdmission} from './gateway_admission.js';
import {type ClockReading} from './gateway_authority.js';
import {type GatewayDrainAdmission} from './gateway_drain_admission.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';

interface SendConditionsDependencies {
  readonly admission: Pick<GatewayAdmission, 'refusalOfKey'>;
  readonly drainAdmission: Pick<GatewayDrainAdmission, 'admits'>;
}

/** How far a request got before the send. */
export interface SendProgress {
  /** No server can have received it. */
  readonly isFirst: boolean;
  /** The caller has a part of the response. */
  readonly hasBegun: boolean;
}

export class SendConditions {
  readonly #deps: SendConditionsDependencies;

  /** @param deps the installed configuration, and the end of the process */
  constructor(deps: SendConditionsDependencies) {
    this.#deps = deps;
  }

  /**
   * @param req an admitted request
   * @param progress how far it got
   * @param at current time
   * @returns the error that ends the request if it must not be sent
   */
  refusalOf(
    req: AdmittedRequest,
    {isFirst, hasBegun}: SendProgress,
    at: ClockReading,
  ): ErrorKind | undefined {
    const {admission, drainAdmission} = this.#deps;
    // A refusal would cut a response that its caller has a part of.
    if (!hasBegun && !drainAdmission.admits(req, at.now)) return 'notReady';
    return isFirst ? admission.refusalOfKey(req, at) : undefined;
  }
}

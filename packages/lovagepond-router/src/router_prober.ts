/**
 * Probes suspected servers over new connections.
 */
import {type Clock} from '@lovagepond/core';
import {type SidecarConnections} from './router_connections.js';
import {type RouterEvidence} from './router_evidence.js';
import {type AttemptTarget} from './router_request_types.js';
import {probeSidecar} from './router_sidecar_calls.js';

export interface ProberDependencies {
  readonly clock: Clock;
  readonly connections: SidecarConnections;
  readonly evidence: RouterEvidence;
  readonly timeoutMs: number;
  readonly onProbe: () => void;
}

/** Sends the probes that are due according to the evidence. */
export class SidecarProber {
  readonly #deps: ProberDependencies;

  constructor(deps: ProberDependencies) {
    this.#deps = deps;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @param revision the revision of this router's configuration
   */
  tick(now: number, revision: number): void {
    for (const target of this.#deps.evidence.takeDueProbes(now)) {
      this.#deps.onProbe();
      void this.#probe(target, revision);
    }
  }

  async #probe(target: AttemptTarget, revision: number): Promise<void> {
    const {clock, connections, evidence, timeoutMs} = this.#deps;
    const connection = await connections.openFresh(target.address);
    const answer =
      connection && (await probeSidecar(connection, revision, timeoutMs));
    const now = clock.now();
    if (answer?.incarnation === target.incarnation) {
      evidence.noteResponse(target.incarnation, now);
    } else {
      evidence.noteProbeFailed(target, now);
    }
  }
}

/**
 * A control member together with its administration server.
 */
import {
  type DrainResult,
  type Role,
  type StateDump,
  sumDrainResults,
} from '@lovagepond/core';
import {
  type ControlAdministration,
  type ControlRole,
} from '@lovagepond/control';
import {type AdministrationServer} from '@lovagepond/operator';

/** Runs a control member and its administration server as one role. */
export class ControlMember implements Role {
  readonly #control: ControlRole;
  readonly #server: AdministrationServer;

  /**
   * @param control the control member
   * @param server the administration server of the member
   */
  constructor(control: ControlRole, server: AdministrationServer) {
    this.#control = control;
    this.#server = server;
  }

  /** Administration interface of the member, for callers in this process. */
  get administration(): ControlAdministration {
    return this.#control.administration;
  }

  async start(): Promise<void> {
    await this.#control.start();
    await this.#server.start();
  }

  isReady(): boolean {
    return this.#control.isReady();
  }

  async drain(limitMs: number): Promise<DrainResult> {
    const drains = [this.#server, this.#control].map(one => one.drain(limitMs));
    return sumDrainResults(await Promise.all(drains));
  }

  async stop(): Promise<void> {
    await this.#server.stop();
    await this.#control.stop();
  }

  dump(): StateDump {
    return this.#control.dump();
  }
}

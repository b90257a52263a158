/**
 * A member of control together with its administration server.
 */
import {type Role, type StateDump} from '@lovagepond/core';
import {
  type ControlAdministration,
  type ControlRole,
} from '@lovagepond/control';
import {type AdministrationServer} from '@lovagepond/operator';

/** Starts and ends both as one role. */
export class ControlMember implements Role {
  readonly #control: ControlRole;
  readonly #server: AdministrationServer;

  /**
   * @param control the member
   * @param server its administration server
   */
  constructor(control: ControlRole, server: AdministrationServer) {
    this.#control = control;
    this.#server = server;
  }

  /** The member's administration, for a program in the same process. */
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

  async drain(limitMs: number): Promise<void> {
    await this.#control.drain(limitMs);
  }

  async stop(): Promise<void> {
    await this.#server.stop();
    await this.#control.stop();
  }

  dump(): StateDump {
    return this.#control.dump();
  }
}

/**
 * Several roles run as one.
 */
import {type Role, type StateDump} from '@lovagepond/core';

/** A role with the name it has among the others. */
export interface NamedRole {
  readonly name: string;
  readonly role: Role;
}

/** Starts roles in order and ends them in the opposite order. */
export class RoleGroup implements Role {
  readonly #members: readonly NamedRole[];

  /** @param members the roles, each after those that it needs */
  constructor(members: readonly NamedRole[]) {
    this.#members = members;
  }

  async start(): Promise<void> {
    for (const {role} of this.#members) await role.start();
  }

  isReady(): boolean {
    return this.#members.every(({role}) => role.isReady());
  }

  /** Routers drain before the sidecars that their requests run at. */
  async drain(limitMs: number): Promise<void> {
    const started = performance.now();
    for (const {role} of this.#members.toReversed()) {
      const left = limitMs - (performance.now() - started);
      await role.drain(Math.max(0, left));
    }
  }

  async stop(): Promise<void> {
    for (const {role} of this.#members.toReversed()) await role.stop();
  }

  dump(): StateDump {
    const dumps = this.#members.map(({name, role}) => [name, role.dump()]);
    const state = Object.fromEntries(dumps) as Record<string, StateDump>;
    return {version: 1, role: 'standalone', state};
  }
}

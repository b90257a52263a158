/**
 * Control members with real consensus nodes, in one process and virtual time.
 */
import {
  ConsensusNode,
  type ConsensusTransport,
  DEFAULT_CONSENSUS_TIMINGS,
  MemoryStorage,
} from '@lovagepond/consensus';
import {type Clock, type Logger, Random} from '@lovagepond/core';
import {vi} from 'vitest';
import {ConfigurationChanger} from '../../configuration_changer.js';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {ControlStateMachine} from '../../control_state_machine.js';
import {LedgerHandler} from '../../ledger_handler.js';
import {Proposer} from '../../proposer.js';

export const SILENT_LOG: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};

/** A clock that follows vitest's fake timers. */
export const FAKE_CLOCK: Clock = {
  now: () => Date.now(),
  wallTime: () => Date.now(),
};

type Listener = Parameters<ConsensusTransport['onMessage']>[0];

/** A network that silently drops all messages of partitioned members. */
class TestNetwork {
  readonly cutOff = new Set<string>();
  readonly #listeners = new Map<string, Listener>();

  attach(from: string): ConsensusTransport {
    return {
      send: (to, message) => {
        if (this.cutOff.has(from) || this.cutOff.has(to)) return;
        setImmediate(() => {
          this.#listeners.get(to)?.(message);
        });
      },
      onMessage: listener => {
        this.#listeners.set(from, listener);
        return () => {
          this.#listeners.delete(from);
        };
      },
    };
  }
}

/** One process of a member; each restart creates a new one. */
interface MemberProcess {
  readonly address: string;
  readonly node: ConsensusNode;
  readonly machine: ControlStateMachine;
  readonly proposer: Proposer;
  readonly ledger: LedgerHandler;
  readonly changer: ConfigurationChanger;
}

/** A cluster of three members. */
export class ControlCluster {
  readonly network = new TestNetwork();
  readonly #addresses = ['a:1', 'b:1', 'c:1'];
  readonly #storages = this.#addresses.map(a => new MemoryStorage(`m-${a}`));
  members: MemberProcess[] = [];

  async start(): Promise<void> {
    for (const index of this.#addresses.keys()) await this.#launch(index);
    await this.untilLeader();
  }

  async stop(): Promise<void> {
    for (const member of this.members) await member.node.stop();
  }

  /** The leader, unless it is partitioned. */
  leader(): MemberProcess | undefined {
    return this.members.find(
      member =>
        member.proposer.leads() && !this.network.cutOff.has(member.address),
    );
  }

  async untilLeader(): Promise<MemberProcess> {
    for (let tries = 0; tries < 200; tries += 1) {
      const leader = this.leader();
      if (leader && (await settle(leader.proposer.confirm()))) return leader;
      await vi.advanceTimersByTimeAsync(50);
    }
    throw new Error('no leader within 10 s of virtual time');
  }

  /** Stops a member's process and restarts it from its disk. */
  async crash(member: MemberProcess): Promise<void> {
    const index = this.members.indexOf(member);
    await member.node.stop();
    await this.#launch(index);
  }

  /** Restarts a member with an empty disk, and waits until it votes. */
  async replaceDisk(member: MemberProcess): Promise<void> {
    const index = this.members.indexOf(member);
    const id = `${member.node.status().id}-new`;
    await member.node.stop();
    this.#storages[index] = new MemoryStorage(id);
    await this.#launch(index);
    await this.#until(() => {
      const members = this.leader()?.node.status().members ?? [];
      return members.some(known => known.id === id && known.voter);
    });
  }

  /** Waits until the former member of a replaced disk has been removed. */
  async untilReplaced(): Promise<void> {
    await this.#until(() => {
      const members = this.leader()?.node.status().members ?? [];
      return members.length === this.#addresses.length;
    });
  }

  async #until(holds: () => boolean): Promise<void> {
    for (let tries = 0; tries < 200; tries += 1) {
      if (holds()) return;
      await vi.advanceTimersByTimeAsync(50);
    }
    throw new Error('condition not met within 10 s of virtual time');
  }

  async #launch(index: number): Promise<void> {
    const address = this.#addresses[index]!;
    const clock = FAKE_CLOCK;
    const machine = new ControlStateMachine(CONTROL_DEFAULTS, () =>
      clock.now(),
    );
    const node = new ConsensusNode(
      {address, peers: this.#addresses, timings: DEFAULT_CONSENSUS_TIMINGS},
      {
        stateMachine: machine,
        storage: this.#storages[index]!,
        transport: this.network.attach(address),
        clock,
        random: new Random(index + 1),
        log: SILENT_LOG,
      },
    );
    await node.start();
    const proposer = new Proposer({log: node, machine, clock});
    const ledger = new LedgerHandler(proposer);
    const changer = new ConfigurationChanger(machine, proposer);
    const process = {address, node, machine, proposer, ledger, changer};
    this.members[index] = process;
  }
}

/** Advances virtual time until `work` resolves; undefined after about 5 s. */
export async function settle<Value>(
  work: Promise<Value>,
): Promise<Value | undefined> {
  let result: {value: Value} | undefined;
  void work.then(value => {
    result = {value};
  });
  for (let tries = 0; tries < 100 && !result; tries += 1) {
    await vi.advanceTimersByTimeAsync(tries < 50 ? 5 : 100);
  }
  return result?.value;
}

/**
 * Performs the actions of the core.
 */
import {type Unregister} from '@lovagepond/core';
import {type ConsensusCore} from './consensus_core.js';
import {type ConsensusAction} from './consensus_outbox.js';
import {type PendingCalls} from './consensus_pending.js';
import {type StorageWriter} from './consensus_storage_writer.js';
import {type ConsensusTransport} from './consensus_transport.js';
import {
  ENTRY_KIND,
  type LogEntry,
  type Member,
  type StateMachine,
} from './consensus_types.js';

/** Called when the leader known to this member changes. */
export type LeaderListener = (leader: Member | undefined) => void;

/** Called with the last applied index after entries were applied. */
export type AppliedListener = (appliedIndex: number) => void;

export interface PerformerDependencies {
  readonly stateMachine: StateMachine;
  readonly transport: ConsensusTransport;
  readonly writer: StorageWriter;
  readonly pending: PendingCalls;
  leader(): Member | undefined;
}

type ActionHandlers = {
  readonly [Kind in ConsensusAction['kind']]: (
    action: Extract<ConsensusAction, {kind: Kind}>,
    core: ConsensusCore,
  ) => void;
};

const NO_RESULT = new Uint8Array();

/** Performs actions in order and notifies listeners. */
export class ActionPerformer {
  readonly #dependencies: PerformerDependencies;
  readonly #leaderListeners = new Set<LeaderListener>();
  readonly #appliedListeners = new Set<AppliedListener>();
  readonly #handlers: ActionHandlers;

  constructor(dependencies: PerformerDependencies) {
    this.#dependencies = dependencies;
    this.#handlers = this.#makeHandlers();
  }

  /** @param core the core whose pending actions are performed */
  perform(core: ConsensusCore): void {
    for (;;) {
      const actions = core.takeActions();
      if (actions.length === 0) return;
      for (const action of actions) {
        const handler = this.#handlers[action.kind] as (
          action: ConsensusAction,
          core: ConsensusCore,
        ) => void;
        handler(action, core);
      }
    }
  }

  /**
   * @param listener called when the known leader changes
   * @returns a function that removes the listener
   */
  onLeaderChange(listener: LeaderListener): Unregister {
    this.#leaderListeners.add(listener);
    return () => {
      this.#leaderListeners.delete(listener);
    };
  }

  /**
   * @param listener called after entries were applied
   * @returns a function that removes the listener
   */
  onApplied(listener: AppliedListener): Unregister {
    this.#appliedListeners.add(listener);
    return () => {
      this.#appliedListeners.delete(listener);
    };
  }

  /** @param leader the currently known leader */
  notifyLeaderChange(leader: Member | undefined): void {
    for (const listener of [...this.#leaderListeners]) listener(leader);
  }

  #makeHandlers(): ActionHandlers {
    const {transport, writer, stateMachine, pending} = this.#dependencies;
    return {
      send: ({address, message}) => {
        transport.send(address, message);
      },
      write: action => {
        writer.add(action);
      },
      saveSnapshot: action => {
        writer.add(action);
      },
      apply: ({entries}) => {
        for (const entry of entries) this.#apply(entry);
        this.#notifyApplied(entries.at(-1)?.index ?? 0);
      },
      restore: ({snapshot}) => {
        stateMachine.restore(snapshot.data);
        this.#notifyApplied(snapshot.index);
      },
      takeSnapshot: ({index}, core) => {
        core.snapshotTaken(index, stateMachine.snapshot());
      },
      leaderChanged: ({leader}) => {
        this.notifyLeaderChange(leader);
      },
      leadershipLost: () => {
        pending.abandonProposals();
      },
      readReady: ({tokens, index}) => {
        pending.answerReads(tokens, {kind: 'ok', index});
      },
      readRefused: ({tokens}) => {
        const leader = this.#dependencies.leader();
        const outcome = {kind: 'notLeader' as const, ...(leader && {leader})};
        pending.answerReads(tokens, outcome);
      },
    };
  }

  #apply(entry: LogEntry): void {
    const {stateMachine, pending} = this.#dependencies;
    const isCommand = entry.kind === ENTRY_KIND.COMMAND;
    const result = isCommand
      ? stateMachine.apply(entry.data, entry.index)
      : NO_RESULT;
    pending.applied(entry, result);
  }

  #notifyApplied(index: number): void {
    for (const listener of [...this.#appliedListeners]) listener(index);
  }
}

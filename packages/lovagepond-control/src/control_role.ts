/**
 * The control role: one member with its gRPC server, its timer and its
 * consensus node.
 */
import {randomUUID} from 'node:crypto';
import {type Server} from '@grpc/grpc-js';
import {
  ConsensusNode,
  type ConsensusSettings,
  type ConsensusStorage,
  type ConsensusTimings,
  type ConsensusTransport,
  FileStorage,
  MemoryStorage,
} from '@lovagepond/consensus';
import {
  type Clock,
  type DrainResult,
  type Logger,
  type Random,
  type Role,
  type StateDump,
} from '@lovagepond/core';
import {type ControlAdministration} from './control_administration.js';
import {type ConfigurationDocuments} from './configuration_documents.js';
import {type HeldContextsReader} from './context_inventory.js';
import {ControlMemberState} from './control_member_state.js';
import {ControlServer} from './control_server.js';
import {
  CONTROL_DEFAULTS,
  CONTROL_TIMINGS,
  type ControlSettings,
} from './control_settings.js';
import {type DirectServers} from './direct_servers.js';
import {MemberTransport} from './member_transport.js';
import {ControlStateMachine} from './control_state_machine.js';

/** Interval at which leadership, leases and subscriptions are checked. */
const TICK_MS = 100;

export interface ControlDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  /** Storage of the log; by default files in the settings' data folder. */
  readonly storage?: ConsensusStorage;
  /**
   * Makes the transport between members; by default over gRPC.
   *
   * @param server the member's gRPC server, not yet listening
   */
  readonly makeTransport?: (server: Server) => ConsensusTransport;
  readonly timings?: ConsensusTimings;
  /** See `ConsensusDependencies.processStartedAt`. */
  readonly processStartedAt?: number;
  /** Reads the contexts that an engine holds; by default they aren't read. */
  readonly readHeldContexts?: HeldContextsReader;
}

export class ControlRole implements Role {
  readonly administration: ControlAdministration;
  /** Whole configurations with version numbers of the operators' own system. */
  readonly documents: ConfigurationDocuments;
  /** Announcements of backend servers that have no sidecar. */
  readonly directServers: DirectServers;
  readonly #settings: ControlSettings;
  readonly #deps: ControlDependencies;
  readonly #server: ControlServer;
  readonly #node: ConsensusNode;
  readonly #state: ControlMemberState;
  #transport: MemberTransport | undefined;
  #timer: NodeJS.Timeout | undefined;
  #draining = false;
  #port = 0;

  constructor(settings: ControlSettings, deps: ControlDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    const {clock, log, random, processStartedAt} = deps;
    const machine = new ControlStateMachine(CONTROL_DEFAULTS, () =>
      clock.now(),
    );
    this.#server = new ControlServer(
      {
        announce: req => this.#state.announce(req),
        reportConvergence: req => this.#state.reportConvergence(req),
        reportReadings: report => {
          this.#state.reportReadings(report);
        },
        reportCrashes: report => this.#state.crashReports.take(report),
        requestRetries: req => this.#state.retries.take(req),
        readStreamHistory: req => this.#state.streamHistory.answer(req),
        claim: req => this.#state.ledger.claim(req),
        record: req => this.#state.ledger.record(req),
        reportOrder: req => this.#state.ledger.reportOrder(req),
        subscribe: (subscriber, sink) =>
          this.#state.subscribe(subscriber, sink),
      },
      log,
    );
    const {server} = this.#server;
    const transport =
      deps.makeTransport?.(server) ?? this.#makeMemberTransport(server);
    this.#node = new ConsensusNode(toConsensusSettings(settings, deps), {
      stateMachine: machine,
      storage: deps.storage ?? openStorage(settings),
      ...(!deps.storage && {
        reopenStorage: () => openStorage(settings, true),
      }),
      transport,
      clock,
      random,
      log,
      ...(processStartedAt !== undefined && {processStartedAt}),
    });
    const {readHeldContexts} = deps;
    this.#state = new ControlMemberState(settings, {
      clock,
      log,
      machine,
      node: this.#node,
      ...(readHeldContexts && {readHeldContexts}),
    });
    this.administration = this.#state.administration;
    this.documents = this.#state.documents;
    this.directServers = this.#state.directServers;
  }

  /** Port of the gRPC server; 0 before the start. */
  get port(): number {
    return this.#port;
  }

  async start(): Promise<void> {
    const {host, port} = this.#settings;
    this.#port = await this.#server.listen(host, port);
    await this.#node.start();
    this.#timer = setInterval(() => {
      this.#state.tick(this.#deps.clock.now());
    }, TICK_MS);
  }

  isReady(): boolean {
    return !this.#draining && this.#state.isFresh(this.#deps.clock.now());
  }

  /**
   * Ends all subscriptions, so that subscribers move to other members, and
   * waits for the calls in flight.
   *
   * @param limitMs the maximum wait, milliseconds
   */
  drain(limitMs: number): Promise<DrainResult> {
    this.#draining = true;
    this.#state.endSubscriptions();
    return this.#server.waitUntilIdle(limitMs);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#state.stop();
    await this.#node.stop();
    this.#transport?.close();
    this.#server.stop();
  }

  dump(): StateDump {
    return this.#state.dump();
  }

  #makeMemberTransport(server: Server): ConsensusTransport {
    this.#transport = new MemberTransport(server, this.#deps.clock);
    return this.#transport;
  }
}

/** An observer keeps its log in memory: each process gets a new member id. */
function openStorage(
  {observer, dataFolder}: ControlSettings,
  isReopening = false,
): ConsensusStorage {
  if (observer) return new MemoryStorage(randomUUID());
  return new FileStorage(dataFolder, isReopening);
}

function toConsensusSettings(
  settings: ControlSettings,
  deps: ControlDependencies,
): ConsensusSettings {
  return {
    address: settings.address,
    peers: [...settings.members],
    timings: deps.timings ?? CONTROL_TIMINGS,
    mayForm: settings.mayFormGroup,
    openMembership: settings.openMembership,
    observer: settings.observer,
    ...(settings.toleratedLosses !== undefined && {
      toleratedLosses: settings.toleratedLosses,
    }),
  };
}

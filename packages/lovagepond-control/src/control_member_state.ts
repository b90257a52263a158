/**
 * The soft state of one control member. The leader builds the membership, and a
 * follower mirrors it. A member serves subscriptions while its state is fresh.
 */
import {type ConsensusNode, MEMBER_ROLE} from '@lovagepond/consensus';
import {
  type Clock,
  type Logger,
  mergeRegister,
  type StateDump,
  type Unregister,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {AnnounceHandler} from './announce_handler.js';
import {ConfigurationDocuments} from './configuration_documents.js';
import {ConfirmationRounds} from './confirmation_rounds.js';
import {type ControlAdministration} from './control_administration.js';
import {type ControlSettings} from './control_settings.js';
import {ControlLeadership} from './control_leadership.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {dumpMember} from './control_member_dump.js';
import {CrashReports} from './crash_reports.js';
import {ConvergenceTable} from './convergence_table.js';
import {DirectServers} from './direct_servers.js';
import {RevisionQueries} from './revision_queries.js';
import {LeaderClient, toLeaderClientSettings} from './leader_client.js';
import {LeaderContactLog} from './leader_contact_log.js';
import {LedgerHandler} from './ledger_handler.js';
import {listMemberAddresses, listRedirectTargets} from './member_addresses.js';
import {MemberAdministration} from './member_administration.js';
import {MembershipLog} from './membership_log.js';
import {type LoadReport, MembershipRegistry} from './membership_registry.js';
import {OrderDelivery} from './order_delivery.js';
import {Proposer} from './proposer.js';
import {type HeldContextsReader} from './context_inventory.js';
import {type ReadingReport} from './reading_report_log.js';
import {RetryIssuer} from './retry_issuer.js';
import {RouterReports} from './router_reports.js';
import {readReadings} from './wire_utils.js';
import {
  CONTROL_ROLE,
  type FeedView,
  type Subscriber,
} from './subscription_feed.js';
import {ZoneAdministration} from './zone_administration.js';
import {StreamHistoryQueries} from './stream_history_queries.js';
import {UpdateScheduler} from './update_scheduler.js';
import {SubscriptionHub, type UpdateSink} from './subscription_hub.js';

/**
 * Longest delay of a change in the numbers of running requests, milliseconds:
 * changes are batched into one message to each subscriber.
 */
const RUNNING_REQUESTS_DELAY_MS = 20;

export interface MemberStateDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly machine: ControlStateMachine;
  readonly node: ConsensusNode;
  readonly readHeldContexts?: HeldContextsReader;
}

/** The soft state and the services of one member. */
export class ControlMemberState {
  readonly administration: ControlAdministration;
  readonly ledger: LedgerHandler;
  readonly documents: ConfigurationDocuments;
  readonly directServers: DirectServers;
  readonly crashReports: CrashReports;
  readonly retries: RetryIssuer;
  readonly streamHistory: StreamHistoryQueries;
  readonly zones: ZoneAdministration;
  readonly #settings: ControlSettings;
  readonly #deps: MemberStateDependencies;
  readonly #proposer: Proposer;
  readonly #membership = new MembershipLog();
  readonly #registry: MembershipRegistry;
  readonly #reports = new RouterReports();
  readonly #convergence = new ConvergenceTable();
  readonly #orderDelivery: OrderDelivery;
  readonly #announceHandler: AnnounceHandler;
  readonly #hub: SubscriptionHub;
  readonly #leaderClient: LeaderClient;
  readonly #confirmations: ConfirmationRounds;
  readonly #revisions: RevisionQueries;
  readonly #unregister: Unregister;
  readonly #updateScheduler = new UpdateScheduler(() => {
    this.#flush(this.#now());
  });
  readonly #leadership: ControlLeadership;
  readonly #contactLog: LeaderContactLog;
  /** Sends changes to the subscribers. */
  readonly #publish = (): void => {
    this.#updateScheduler.runSoon();
  };

  constructor(settings: ControlSettings, deps: MemberStateDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    const {clock, log, machine, node} = deps;
    this.#proposer = new Proposer({log: node, machine, clock});
    this.ledger = new LedgerHandler(this.#proposer);
    this.#registry = new MembershipRegistry(settings, this.#membership);
    this.#orderDelivery = new OrderDelivery(settings.concurrentLoads);
    this.#announceHandler = this.#makeAnnounceHandler();
    this.documents = new ConfigurationDocuments(machine, this.#proposer);
    const reader = {clock, machine, proposer: this.#proposer};
    this.directServers = new DirectServers({
      ...reader,
      registry: this.#registry,
      hasTakenOver: () => this.#leadership.term !== undefined,
      convergence: this.#convergence,
      oldestLogVersion: () => this.#hub.oldestLogVersion,
      publish: this.#publish,
    });
    this.crashReports = new CrashReports({
      clock,
      log,
      machine,
      proposer: this.#proposer,
      forwardToLeader: report => this.#leaderClient.reportCrashes(report),
      oldestLogVersion: () => this.#hub.oldestLogVersion,
      publish: this.#publish,
    });
    this.retries = this.#makeRetryIssuer();
    this.zones = this.#makeZoneAdministration();
    this.#leadership = this.#makeLeadership();
    this.#hub = new SubscriptionHub(settings, clock.now());
    this.#contactLog = new LeaderContactLog(node, log);
    this.#leaderClient = this.#makeLeaderClient(log);
    this.streamHistory = new StreamHistoryQueries(reader, this.#leaderClient);
    this.#revisions = new RevisionQueries({
      ...reader,
      nodeName: settings.nodeName,
      convergence: this.#convergence,
      reportToLeader: report => this.#leaderClient.report(report),
    });
    this.#confirmations = new ConfirmationRounds(() =>
      this.#revisions.confirm(),
    );
    this.administration = this.#makeAdministration();
    this.#unregister = mergeRegister(
      machine.configuration.current.register(this.#publish),
      node.onLeaderChange(() => {
        this.tick(clock.now());
      }),
    );
  }

  announce(
    req: lovagepond.v1.AnnounceRequest.$Properties,
  ): Promise<lovagepond.v1.AnnounceResponse> {
    return this.#announceHandler.handle(req);
  }

  /**
   * @param report a node's revision, which a follower forwards to the leader
   * @returns the revision in force, confirmed by a majority after the call
   *     began, unless no leader could confirm it
   */
  reportConvergence(
    report: lovagepond.v1.ConvergenceReport,
  ): Promise<lovagepond.v1.ConvergenceResponse> {
    return this.#revisions.answer(report);
  }

  /**
   * Adds a report at the leader; a follower forwards it to the leader, so that
   * all members publish the same reports.
   *
   * @param report a router's report of prompts that servers process for it
   */
  reportReadings(report: lovagepond.v1.ReadingReport): void {
    this.retries.noteRequests(report.requests, this.#now());
    if (this.#proposer.leads()) this.#addReadingReport(readReadings(report));
    else this.#leaderClient.forwardReadings(report);
  }

  /**
   * @param subscriber the subscriber
   * @param sink receives its updates
   * @returns a function that ends the subscription; undefined while this member
   *     has no contact with the leader and serves none
   */
  subscribe(subscriber: Subscriber, sink: UpdateSink): Unregister | undefined {
    const now = this.#now();
    if (!this.#hub.acceptsSubscribers(now)) return undefined;
    // Only a leader accepts followers, even before it has taken over: a refused
    // follower would retry some 200 ms later and delay its own subscribers.
    const isFollower = subscriber.role === CONTROL_ROLE;
    const {role} = this.#deps.node.status();
    if (isFollower && role !== MEMBER_ROLE.LEADER) return undefined;
    const {feed, remove} = this.#hub.add(subscriber, sink);
    if (!isFollower) {
      this.#convergence.report(
        subscriber.node,
        subscriber.role,
        subscriber.revision,
        now,
      );
      this.#confirmations.add(feed);
    }
    this.#updateScheduler.runSoon();
    this.#runConfirmationRound();
    return mergeRegister(remove, () => {
      this.#confirmations.remove(feed);
    });
  }

  /**
   * Updates leadership, leases, orders and subscriptions.
   *
   * @param now monotonic milliseconds
   */
  tick(now: number): void {
    const {node} = this.#deps;
    const {role, term, leader, leaseValid} = node.status();
    if (role === MEMBER_ROLE.LEADER) {
      this.#leaderClient.follow('', now);
      if (this.#leadership.term !== term) {
        this.#runInBackground(this.#leadership.takeOver(term));
      }
    } else {
      this.#leadership.end();
      this.#leaderClient.follow(leader?.address ?? '', now);
    }
    const leads = this.#leadership.term === term && leaseValid;
    this.#hub.recordContact(
      leads ? now : this.#leaderClient.lastContactAt,
      now,
    );
    this.#contactLog.note(this.#hub.isFresh(now));
    if (leads) this.#runInBackground(this.#leadership.tick(now));
    this.#convergence.sweep(now);
    this.#revisions.sweep(now);
    this.#reports.expire(now);
    this.retries.expire(now);
    this.#hub.redirectSubscribers(listRedirectTargets(node));
    this.#runConfirmationRound();
    this.#flush(now);
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while this member serves subscriptions
   */
  isFresh(now: number): boolean {
    return this.#hub.isFresh(now);
  }

  /** Ends all subscriptions, so that subscribers move to other members. */
  endSubscriptions(): void {
    this.#hub.endAll();
  }

  /** Stops timers, listeners and streams. */
  stop(): void {
    this.#updateScheduler.stop();
    this.#unregister();
    this.#leaderClient.stop();
    this.#hub.endAll();
  }

  dump(): StateDump {
    return dumpMember({
      ...this.#deps,
      settings: this.#settings,
      membership: this.#membership,
      hub: this.#hub,
      crashReports: this.crashReports,
      zones: this.zones,
      retries: this.retries,
    });
  }

  #now(): number {
    return this.#deps.clock.now();
  }

  #addReadingReport(report: ReadingReport): void {
    this.#reports.add(report, this.#now());
    if (report.readings.length > 0) this.#updateScheduler.runSoon();
    else this.#updateScheduler.runWithin(RUNNING_REQUESTS_DELAY_MS);
  }

  #flush(now: number): void {
    let load: LoadReport | undefined;
    const membership = this.#membership;
    const {configuration, crashes} = this.#deps.machine;
    const view: FeedView = {
      leads: this.#leadership.term !== undefined && this.#proposer.leads(),
      configuration: configuration.current.read(),
      contentOf: revision => configuration.find(revision),
      membershipVersion: membership.version,
      changesSince: (version, pool) => membership.changesSince(version, pool),
      readLoad: () => (load ??= this.#readLoad(now)),
      readings: this.#reports.readings,
      running: this.#reports.running,
      demand: this.#reports.demand,
      streamPeers: this.#reports.streamPeers.addresses,
      crashesVersion: crashes.version,
      suspects: () => this.crashReports.list(),
      controlMembers: listMemberAddresses(this.#deps.node),
    };
    this.#hub.flush(view, now);
  }

  /** No load while the list is incomplete, as slots may be assigned twice. */
  #readLoad(now: number): LoadReport | undefined {
    if (!this.#membership.complete) return undefined;
    if (this.#leadership.term !== undefined) {
      return this.#registry.loadReport(now);
    }
    return this.#leaderClient.load(now);
  }

  /** Runs work without waiting for it; later ticks retry what failed. */
  #runInBackground(work: Promise<void>): void {
    work.catch((err: unknown) => {
      this.#deps.log.warn('background work failed', {message: String(err)});
    });
  }

  #runConfirmationRound(): void {
    const round = this.#confirmations.run().then(confirmed => {
      if (confirmed) this.#updateScheduler.runSoon();
    });
    this.#runInBackground(round);
  }

  #makeLeadership(): ControlLeadership {
    return new ControlLeadership({
      ...this.#deps,
      settings: this.#settings,
      proposer: this.#proposer,
      registry: this.#registry,
      directServers: this.directServers,
      delivery: this.#orderDelivery,
      readings: this.#reports.readings,
      onTakenOver: () => {
        this.tick(this.#now());
      },
      onReport: report => {
        this.#addReadingReport(report);
      },
    });
  }

  #makeRetryIssuer(): RetryIssuer {
    return new RetryIssuer(this.#settings, {
      ...this.#deps,
      proposer: this.#proposer,
      hasTakenOver: () =>
        this.#leadership.term === this.#deps.node.status().term,
      oldestLogVersion: () => this.#hub.oldestLogVersion,
      forwardToLeader: req => this.#leaderClient.requestRetries(req),
    });
  }

  #makeZoneAdministration(): ZoneAdministration {
    const {clock, machine} = this.#deps;
    return new ZoneAdministration({
      ...this.#deps,
      proposer: this.#proposer,
      configuredZones: this.#settings.zones,
      membership: this.#membership,
      convergence: this.#convergence,
      oldestLogVersion: () => this.#hub.oldestLogVersion,
      publish: () => {
        this.directServers.refreshWarmUps(clock.now());
        this.#registry.applyWantedStates(one => machine.wantedStateOf(one));
        this.#publish();
      },
    });
  }

  #makeAnnounceHandler(): AnnounceHandler {
    return new AnnounceHandler({
      clock: this.#deps.clock,
      machine: this.#deps.machine,
      registry: this.#registry,
      convergence: this.#convergence,
      delivery: this.#orderDelivery,
      proposer: this.#proposer,
      leaseMs: this.#settings.leaseMs,
      hasTakenOver: () => this.#leadership.term !== undefined,
    });
  }

  #makeLeaderClient(log: Logger): LeaderClient {
    return new LeaderClient(toLeaderClientSettings(this.#settings), {
      clock: this.#deps.clock,
      log,
      membership: this.#membership,
      onMembership: this.#publish,
      onReadings: report => {
        this.#addReadingReport(report);
      },
    });
  }

  #makeAdministration(): ControlAdministration {
    return new MemberAdministration({
      clock: this.#deps.clock,
      log: this.#deps.node,
      machine: this.#deps.machine,
      proposer: this.#proposer,
      registry: this.#registry,
      membership: this.#membership,
      convergence: this.#convergence,
      crashReports: this.crashReports,
      zones: this.zones,
      load: now => this.#readLoad(now),
      dump: () => this.dump(),
      confirmRevision: () => this.#revisions.confirm(),
    });
  }
}

/**
 * What one control member does as leader and as follower: takes over the
 * membership, mirrors it, serves subscriptions and ends them in time.
 */
import {type ConsensusNode, MEMBER_ROLE} from '@lovagepond/consensus';
import {
  type Clock,
  type Logger,
  mergeRegister,
  type StateDump,
  type Unregister,
} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {AnnounceHandler} from './announce_handler.js';
import {ConfigurationDocuments} from './configuration_documents.js';
import {ConfirmationRounds} from './confirmation_rounds.js';
import {type ControlAdministration} from './control_administration.js';
import {type ControlSettings} from './control_settings.js';
import {ControlLeadership} from './control_leadership.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {CrashReports} from './crash_reports.js';
import {ConvergenceTable} from './convergence_table.js';
import {DirectServers} from './direct_servers.js';
import {LeaderQuestions} from './leader_questions.js';
import {LeaderRelay} from './leader_relay.js';
import {LedgerHandler} from './ledger_handler.js';
import {listMemberAddresses, listMembersWithLog} from './member_addresses.js';
import {MemberAdministration} from './member_administration.js';
import {MembershipLog} from './membership_log.js';
import {type LoadReport, MembershipRegistry} from './membership_registry.js';
import {OrderDelivery} from './order_delivery.js';
import {Proposer} from './proposer.js';
import {type HeldContextsReader} from './context_inventory.js';
import {ReadingBoard, type ReadingReport} from './reading_board.js';
import {RunningTotals} from './running_totals.js';
import {readReadings} from './wire_utils.js';
import {
  CONTROL_ROLE,
  type FeedView,
  type Subscriber,
} from './subscription_feed.js';
import {SubscriptionPump} from './subscription_pump.js';
import {SubscriptionHub, type UpdateSink} from './subscription_hub.js';

const {v1} = lovagepond;

const DUMP_VERSION = 1;

/** Longest wait for the leader's answer to a follower. */
const RELAY_CALL_TIMEOUT_MS = 1_000;

/**
 * Longest time that a change in the numbers of requests waits for others, so
 * that they go to each subscriber in one message, milliseconds.
 */
const RUNNING_DELAY_MS = 20;

/** What the state is built from. */
export interface MemberStateParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly machine: ControlStateMachine;
  readonly node: ConsensusNode;
  readonly readHeldContexts?: HeldContextsReader;
}

/** One member's soft state and its services. */
export class ControlMemberState {
  readonly administration: ControlAdministration;
  readonly ledger: LedgerHandler;
  readonly documents: ConfigurationDocuments;
  readonly directServers: DirectServers;
  readonly crashReports: CrashReports;
  readonly #settings: ControlSettings;
  readonly #parts: MemberStateParts;
  readonly #proposer: Proposer;
  readonly #membership = new MembershipLog();
  readonly #registry: MembershipRegistry;
  readonly #readings = new ReadingBoard();
  readonly #running = new RunningTotals();
  readonly #convergence = new ConvergenceTable();
  readonly #delivery: OrderDelivery;
  readonly #announces: AnnounceHandler;
  readonly #hub: SubscriptionHub;
  readonly #relay: LeaderRelay;
  readonly #rounds: ConfirmationRounds;
  readonly #questions: LeaderQuestions;
  readonly #unregister: Unregister;
  readonly #schedule = new SubscriptionPump(() => {
    this.#pump(this.#now());
  });
  readonly #leadership: ControlLeadership;

  constructor(settings: ControlSettings, parts: MemberStateParts) {
    this.#settings = settings;
    this.#parts = parts;
    const {clock, log, machine, node} = parts;
    this.#proposer = new Proposer({log: node, machine, clock});
    this.ledger = new LedgerHandler(this.#proposer);
    this.#registry = new MembershipRegistry(settings, this.#membership);
    this.#delivery = new OrderDelivery(settings.concurrentLoads);
    this.#announces = this.#makeAnnounceHandler();
    this.documents = new ConfigurationDocuments(machine, this.#proposer);
    this.directServers = new DirectServers({
      clock,
      machine,
      registry: this.#registry,
      proposer: this.#proposer,
      hasTakenOver: () => this.#leadership.term !== undefined,
      publish: () => {
        this.#schedule.soon();
      },
    });
    this.crashReports = new CrashReports({
      clock,
      log,
      machine,
      proposer: this.#proposer,
      forwardToLeader: report => this.#relay.reportCrashes(report),
      oldestLogVersion: () => this.#hub.oldestLogVersion,
      publish: () => {
        this.#schedule.soon();
      },
    });
    this.#leadership = this.#makeLeadership();
    this.#hub = new SubscriptionHub(settings, clock.now());
    this.#relay = this.#makeRelay(log);
    this.#questions = new LeaderQuestions({
      nodeName: settings.nodeName,
      leaderAddress: () => this.#proposer.leaderAddress(),
      report: report => this.#relay.report(report),
    });
    this.#rounds = new ConfirmationRounds(() => this.#confirmRevision());
    this.administration = this.#makeAdministration();
    this.#unregister = mergeRegister(
      machine.configuration.current.register(() => {
        this.#schedule.soon();
      }),
      node.onLeaderChange(() => {
        this.tick(clock.now());
      }),
    );
  }

  announce(
    req: lovagepond.v1.AnnounceRequest.$Properties,
  ): Promise<lovagepond.v1.AnnounceResponse> {
    return this.#announces.handle(req);
  }

  /**
   * @param report what a node holds; a follower passes it to the leader
   * @returns the revision in force, confirmed by a majority after the call
   *     began, unless no leader could confirm it
   */
  async reportConvergence(
    report: lovagepond.v1.ConvergenceReport,
  ): Promise<lovagepond.v1.ConvergenceResponse> {
    const {node, role, revision, atOnce} = report;
    if (role !== CONTROL_ROLE) {
      this.#convergence.report(node, role, revision, this.#now());
    }
    const confirmed = this.#proposer.leads()
      ? await this.#confirmHere(!atOnce)
      : await this.#questions.confirmFor(
          {node, role, revision, atOnce},
          this.#now(),
        );
    return new v1.ConvergenceResponse({
      revision: confirmed ?? 0,
      confirmed: confirmed !== undefined,
    });
  }

  /**
   * Only the leader posts reports, so that all members pass on the same.
   *
   * @param report what a router says of prompts that servers read for it
   */
  reportReadings(report: lovagepond.v1.ReadingReport): void {
    if (this.#proposer.leads()) this.#postReadings(readReadings(report));
    else this.#relay.passReadings(report);
  }

  /**
   * @param subscriber who subscribes
   * @param sink where its updates go
   * @returns a function that ends the subscription; undefined when this member
   *     is out of touch and serves none
   */
  subscribe(subscriber: Subscriber, sink: UpdateSink): Unregister | undefined {
    const now = this.#now();
    if (!this.#hub.takesSubscribers(now)) return undefined;
    // A follower mirrors the leader only, never another follower. While the
    // leader takes over, followers wait here: sent away, they and all their
    // subscribers would come back only some 200 milliseconds later.
    const relayed = subscriber.role === CONTROL_ROLE;
    const {role} = this.#parts.node.status();
    if (relayed && role !== MEMBER_ROLE.LEADER) return undefined;
    const {feed, remove} = this.#hub.add(subscriber, sink);
    if (!relayed) {
      this.#convergence.report(
        subscriber.node,
        subscriber.role,
        subscriber.revision,
        now,
      );
      this.#rounds.add(feed);
    }
    this.#schedule.soon();
    this.#runRounds();
    return mergeRegister(remove, () => {
      this.#rounds.remove(feed);
    });
  }

  /**
   * Looks at leadership, leases, orders and subscriptions.
   *
   * @param now monotonic milliseconds
   */
  tick(now: number): void {
    const {node} = this.#parts;
    const {role, term, leader, leaseValid} = node.status();
    if (role === MEMBER_ROLE.LEADER) {
      this.#relay.follow('', now);
      if (this.#leadership.term !== term) {
        this.#runApart(this.#leadership.takeOver(term));
      }
    } else {
      this.#leadership.end();
      this.#relay.follow(leader?.address ?? '', now);
    }
    const leads = this.#leadership.term === term && leaseValid;
    this.#hub.noteContact(leads ? now : this.#relay.heardAt, now);
    if (leads) this.#runApart(this.#leadership.tick(now));
    this.#convergence.sweep(now);
    this.#questions.sweep(now);
    this.#running.forgetSilent(now);
    this.#hub.sendOn(listMembersWithLog(node));
    this.#runRounds();
    this.#pump(now);
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while this member serves subscriptions
   */
  isFresh(now: number): boolean {
    return this.#hub.isFresh(now);
  }

  /** Ends all subscriptions, so that subscribers go on to other members. */
  endSubscriptions(): void {
    this.#hub.endAll();
  }

  /** Ends what runs by itself. */
  stop(): void {
    this.#schedule.stop();
    this.#unregister();
    this.#relay.stop();
    this.#hub.endAll();
  }

  dump(): StateDump {
    const {machine, node} = this.#parts;
    const {members, ...status} = node.status();
    const now = this.#now();
    return {
      version: DUMP_VERSION,
      role: 'control',
      state: {
        nodeName: this.#settings.nodeName,
        consensus: {...status, members: [...members]},
        fresh: this.isFresh(now),
        revision: machine.configuration.current.read().revision,
        ledger: machine.ledger.counts(),
        orders: machine.orders.counts(),
        replicatedTimeMs: machine.time.timeMs,
        membershipVersion: this.#membership.version,
        membershipComplete: this.#membership.complete,
        backendServers: this.#membership.size,
        subscribers: this.#hub.size,
        suspectedRequests: this.crashReports.list().length,
      },
    };
  }

  #now(): number {
    return this.#parts.clock.now();
  }

  #postReadings(report: ReadingReport): void {
    this.#readings.post(report);
    this.#running.note(report, this.#now());
    if (report.readings.length > 0) this.#schedule.soon();
    else this.#schedule.within(RUNNING_DELAY_MS);
  }

  #pump(now: number): void {
    let load: LoadReport | undefined;
    const membership = this.#membership;
    const {configuration, crashes} = this.#parts.machine;
    const view: FeedView = {
      leads: this.#leadership.term !== undefined && this.#proposer.leads(),
      configuration: configuration.current.read(),
      contentOf: revision => configuration.find(revision),
      membershipVersion: membership.version,
      changesSince: (version, pool) => membership.changesSince(version, pool),
      readLoad: () => (load ??= this.#readLoad(now)),
      readings: this.#readings,
      running: this.#running,
      crashesVersion: crashes.version,
      suspects: () => this.crashReports.list(),
      controlMembers: listMemberAddresses(this.#parts.node),
    };
    this.#hub.pump(view, now);
  }

  /** No load goes out while the list isn't whole: slots may be taken twice. */
  #readLoad(now: number): LoadReport | undefined {
    if (!this.#membership.complete) return undefined;
    if (this.#leadership.term !== undefined) {
      return this.#registry.loadReport(now);
    }
    return this.#relay.load(now);
  }

  /** Work that a tick starts and the next ticks try again. */
  #runApart(work: Promise<void>): void {
    work.catch((err: unknown) => {
      this.#parts.log.warn('control work failed', {message: String(err)});
    });
  }

  #runRounds(): void {
    const round = this.#rounds.run().then(confirmed => {
      if (confirmed) this.#schedule.soon();
    });
    this.#runApart(round);
  }

  async #confirmRevision(): Promise<number | undefined> {
    return this.#proposer.leads()
      ? this.#confirmHere()
      : this.#questions.confirm();
  }

  async #confirmHere(mayWait = false): Promise<number | undefined> {
    if (!(await this.#proposer.confirm(mayWait))) return undefined;
    return this.#parts.machine.configuration.current.read().revision;
  }

  #makeLeadership(): ControlLeadership {
    return new ControlLeadership({
      ...this.#parts,
      settings: this.#settings,
      proposer: this.#proposer,
      registry: this.#registry,
      directServers: this.directServers,
      delivery: this.#delivery,
      readings: this.#readings,
      onTakenOver: () => {
        this.tick(this.#now());
      },
      onReport: report => {
        this.#postReadings(report);
      },
    });
  }

  #makeAnnounceHandler(): AnnounceHandler {
    return new AnnounceHandler({
      clock: this.#parts.clock,
      machine: this.#parts.machine,
      registry: this.#registry,
      convergence: this.#convergence,
      delivery: this.#delivery,
      proposer: this.#proposer,
      leaseMs: this.#settings.leaseMs,
      hasTakenOver: () => this.#leadership.term !== undefined,
    });
  }

  #makeRelay(log: Logger): LeaderRelay {
    const {nodeName, region, leaderContactLimitMs} = this.#settings;
    return new LeaderRelay(
      {
        nodeName,
        region,
        silentAfterMs: leaderContactLimitMs / 2,
        loadValidMs: leaderContactLimitMs,
        callTimeoutMs: RELAY_CALL_TIMEOUT_MS,
      },
      {
        clock: this.#parts.clock,
        log,
        membership: this.#membership,
        onMembership: () => {
          this.#schedule.soon();
        },
        onReadings: report => {
          this.#postReadings(report);
        },
      },
    );
  }

  #makeAdministration(): ControlAdministration {
    return new MemberAdministration({
      clock: this.#parts.clock,
      log: this.#parts.node,
      machine: this.#parts.machine,
      proposer: this.#proposer,
      registry: this.#registry,
      membership: this.#membership,
      convergence: this.#convergence,
      crashReports: this.crashReports,
      load: now => this.#readLoad(now),
      dump: () => this.dump(),
      confirmRevision: () => this.#confirmRevision(),
    });
  }
}

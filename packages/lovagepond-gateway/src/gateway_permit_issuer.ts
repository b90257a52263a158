/**
 * Issues permits for requests at backend servers. A permit counts until its
 * gateway gives it back, so the requests of all gateways at a server stay within
 * the limit however old each gateway's view of the others is.
 */
import {type HashKey} from '@lovagepond/router/rendezvous_hash';
import {textOfKey} from './gateway_stream_records.js';

/**
 * Time after which the number of a gateway is forgotten that it has not told
 * again, milliseconds: the gateway has exited, or asks another issuer.
 */
const HOLDER_TTL_MS = 3_000;

/**
 * Time in which the gateways tell a new issuer their numbers, milliseconds. Until
 * then the requests that control reports count, too.
 */
const SETTLING_MS = 500;

/** Sequence numbers up to this distance back are older, not wrapped around. */
const REORDERED_SEQUENCES = 1_024;

/** What a gateway tells of its requests at a server, or asks for one more. */
export interface PermitRequest {
  readonly server: HashKey;
  /** Rises by one with each request of the gateway. */
  readonly sequence: number;
  /** Its requests with a permit or waiting for one, without the new one. */
  readonly held: number;
  /** Requests that all gateways may have there, the new one included. */
  readonly limit: number;
  /**
   * Time since the server refused a connection of the gateway, milliseconds; 0 or
   * absent if it did not lately.
   */
  readonly refusedMsAgo?: number;
  /** The same for a connection that was lost with a request under way. */
  readonly lostMsAgo?: number;
}

/** What the issuer knows besides the numbers that it was told. */
export interface IssuerView {
  /** Requests at the server, as reported through control. */
  readonly reportedLoad: number;
  /** False while it stands in for another issuer. */
  readonly isFirst: boolean;
}

export interface PermitDecision {
  readonly granted: boolean;
  /** Requests of all gateways at the server, a granted one included. */
  readonly load: number;
  /**
   * The gateways that issue permits for the server while it is warming up, as
   * another gateway knows; absent when it doesn't.
   */
  readonly warmUpRouters?: readonly string[];
  /** No issuer of the server's permits replied, so this gateway decided alone. */
  readonly isAlone?: boolean;
  /** The server's process has exited, as another gateway has told. */
  readonly hasExited?: boolean;
}

interface Holder {
  held: number;
  sequence: number;
  toldAt: number;
}

interface ServerPermits {
  readonly holders: Map<string, Holder>;
  readonly since: number;
}

export class PermitIssuer {
  readonly #servers = new Map<string, ServerPermits>();

  /** Number of servers with requests. */
  get size(): number {
    return this.#servers.size;
  }

  /**
   * @param gateway the asking gateway's address
   * @param req its request for a permit
   * @param view what else is known of the server
   * @param now current time, monotonic milliseconds
   * @returns whether the gateway may send one more request
   */
  decide(
    gateway: string,
    req: PermitRequest,
    {reportedLoad, isFirst}: IssuerView,
    now: number,
  ): PermitDecision {
    const server = this.#serverOf(req.server, now);
    const holder = holderOf(server, gateway, req.sequence);
    // A later request of the gateway has already counted this one.
    const isCounted = isOlder(req.sequence, holder.sequence);
    if (!isCounted) update(holder, req, now);
    const isSettled = isFirst && now - server.since >= SETTLING_MS;
    const counted = sumOf(server) - (isCounted ? 1 : 0);
    const load = isSettled ? counted : Math.max(counted, reportedLoad);
    const granted = load + 1 <= req.limit;
    if (granted !== isCounted) holder.held += granted ? 1 : -1;
    return {granted, load: granted ? load + 1 : load};
  }

  /**
   * @param gateway a gateway's address
   * @param req its number of requests at a server
   * @param now current time, monotonic milliseconds
   */
  tell(gateway: string, req: PermitRequest, now: number): void {
    const server = this.#serverOf(req.server, now);
    const holder = holderOf(server, gateway, req.sequence);
    if (!isOlder(req.sequence, holder.sequence)) update(holder, req, now);
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    for (const [key, {holders}] of this.#servers) {
      for (const [gateway, {toldAt}] of holders) {
        if (now - toldAt > HOLDER_TTL_MS) holders.delete(gateway);
      }
      if (holders.size === 0) this.#servers.delete(key);
    }
  }

  #serverOf(server: HashKey, now: number): ServerPermits {
    const key = textOfKey(server);
    const known = this.#servers.get(key);
    if (known) return known;
    const created = {holders: new Map<string, Holder>(), since: now};
    this.#servers.set(key, created);
    return created;
  }
}

function holderOf(
  {holders}: ServerPermits,
  gateway: string,
  sequence: number,
): Holder {
  const known = holders.get(gateway);
  if (known) return known;
  const created = {held: 0, sequence: sequence - 1, toldAt: 0};
  holders.set(gateway, created);
  return created;
}

function update(
  holder: Holder,
  {held, sequence}: PermitRequest,
  now: number,
): void {
  holder.held = held;
  holder.sequence = sequence;
  holder.toldAt = now;
}

function sumOf({holders}: ServerPermits): number {
  let sum = 0;
  for (const {held} of holders.values()) sum += held;
  return sum;
}

/** Datagrams may overtake each other; a restarted gateway begins anywhere. */
function isOlder(sequence: number, than: number): boolean {
  const behind = (than - sequence) >>> 0;
  return behind < REORDERED_SEQUENCES;
}

/**
 * Announcements of backend servers, for measurements.
 */
import {Client, credentials, Metadata} from '@grpc/grpc-js';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';

const {v1} = lovagepond;

/** The constant fields of a backend server's announcements. */
export type ServerDescription = Pick<
  lovagepond.v1.AnnounceRequest,
  | 'incarnation'
  | 'pool'
  | 'labels'
  | 'availabilityZone'
  | 'region'
  | 'address'
  | 'state'
  | 'capacityTokens'
  | 'models'
>;

/**
 * @param n number of the backend server
 * @returns the constant fields of its announcements
 */
export function describeServer(n: number): ServerDescription {
  return {
    incarnation: `8d3f0a52-6c1e-4b7a-9f10-${n + 1e11}`,
    pool: `model-${n % 25}`,
    labels: {zone: 'muc-riem', tier: 'gold'},
    availabilityZone: 'muc-riem',
    region: 'bayern-sued',
    address: `10.0.${n >> 8}.${n & 255}:7000`,
    state: 'ready',
    capacityTokens: 100_000,
    models: [`model-${n % 25}`],
  };
}

/**
 * @param n number of the backend server
 * @returns its announcement
 */
export function announcementOf(n: number): lovagepond.v1.AnnounceRequest {
  return new v1.AnnounceRequest({
    ...describeServer(n),
    backendServer: `muc-riem-engine-${n}`,
    runningTokens: 20_000 + n,
    queuedTokens: n,
    role: 'sidecar',
    fencingFloor: 1,
  });
}

/**
 * @param client a client of the leader
 * @param req the announcement
 */
export function announce(
  client: Client,
  req: lovagepond.v1.AnnounceRequest,
): Promise<void> {
  const method = CONTROL_SERVICE.announce;
  return new Promise((resolve, reject) => {
    client.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      req,
      new Metadata(),
      {},
      (err, res) => {
        if (err) reject(err);
        else if (!res?.accepted) reject(new Error('not accepted'));
        else resolve();
      },
    );
  });
}

/**
 * @param port port of the leader on the loopback address
 * @param count number of backend servers to announce
 */
export async function announceServers(
  port: number,
  count: number,
): Promise<void> {
  const target = `127.0.0.1:${port}`;
  const client = new Client(target, credentials.createInsecure());
  for (let n = 0; n < count; n += 1) await announce(client, announcementOf(n));
  client.close();
}

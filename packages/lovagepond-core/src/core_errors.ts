/**
 * The closed list of error kinds, and the HTTP answer for each kind.
 *
 * Every failure that is reported to a caller or an operator has one of these
 * kinds.
 */

/** Whether the request was executed. */
export const DISPOSITION = {
  /** No backend server received the request, and none will. */
  NOT_RUN: 'notRun',
  /** A backend server may have run the request, partly or completely. */
  MAY_HAVE_RUN: 'mayHaveRun',
  /** A backend server has run the request. */
  RAN: 'ran',
} as const;

export type Disposition = (typeof DISPOSITION)[keyof typeof DISPOSITION];

/** The answer for one kind of error. */
export interface ErrorAnswer {
  /** HTTP status. */
  readonly status: number;
  readonly disposition: Disposition;
  /** The answer tells the caller when to retry. */
  readonly retryable: boolean;
  /** A router may retry at another backend server on its own. */
  readonly anotherAttempt: boolean;
  /** Text for the caller when a failure has no message of its own. */
  readonly message: string;
}

const {NOT_RUN, MAY_HAVE_RUN, RAN} = DISPOSITION;

function refused(
  status: number,
  message: string,
  options: {retryable?: boolean; anotherAttempt?: boolean} = {},
): ErrorAnswer {
  const {retryable = false, anotherAttempt = false} = options;
  return {status, disposition: NOT_RUN, retryable, anotherAttempt, message};
}

function mayHaveRun(
  status: number,
  message: string,
  disposition: Disposition = MAY_HAVE_RUN,
): ErrorAnswer {
  return {
    status,
    disposition,
    retryable: false,
    anotherAttempt: false,
    message,
  };
}

const RETRYABLE = {retryable: true} as const;
const RETRYABLE_ELSEWHERE = {retryable: true, anotherAttempt: true} as const;

/** Answers by kind. The keys are the closed list of error kinds. */
export const ERROR_ANSWERS = {
  badRequest: refused(400, 'The request is malformed.'),
  badDeadline: refused(400, 'The deadline is not a time that can be met.'),
  unauthorized: refused(401, 'A valid token is needed.'),
  unknownWorkspace: refused(403, 'The workspace is not known.'),
  notFound: refused(404, 'There is no such path or object.'),
  senderTooSlow: refused(408, 'The request did not arrive in time.'),
  conflict: refused(409, 'The base revision is not the current one.'),
  payloadTooLarge: refused(413, 'The body is larger than allowed.'),
  invalidConfiguration: refused(422, 'The configuration has faults.'),
  keyReuse: refused(422, 'The idempotency key belongs to another body.'),
  workspaceLimit: refused(429, "The workspace's limit is reached.", RETRYABLE),
  headersTooLarge: refused(431, 'The headers are larger than allowed.'),
  noBackendServer: refused(
    503,
    'No backend server may take this request now.',
    RETRYABLE,
  ),
  streamUnknown: refused(
    503,
    'No router knows which servers can continue the stream.',
  ),
  streamVersionGone: refused(
    503,
    'No server of the version that began the stream may take it now.',
    RETRYABLE,
  ),
  overloaded: refused(
    503,
    'All eligible servers are at their bound.',
    RETRYABLE_ELSEWHERE,
  ),
  deadlineUnreachable: refused(
    503,
    'The expected wait is longer than the deadline allows.',
    RETRYABLE_ELSEWHERE,
  ),
  draining: refused(503, 'The backend server is leaving.', RETRYABLE_ELSEWHERE),
  notReady: refused(503, 'The process is not ready yet.', RETRYABLE_ELSEWHERE),
  staleRevision: refused(
    503,
    'The router holds an older configuration.',
    RETRYABLE_ELSEWHERE,
  ),
  wrongIncarnation: refused(
    503,
    'The process has restarted since it was chosen.',
    RETRYABLE_ELSEWHERE,
  ),
  servedElsewhere: refused(
    503,
    "Another backend server holds the chat's context.",
    RETRYABLE_ELSEWHERE,
  ),
  handedOver: refused(
    503,
    'A backend server with room took the held request.',
    RETRYABLE_ELSEWHERE,
  ),
  revoked: refused(
    503,
    'The attempt was taken back in time.',
    RETRYABLE_ELSEWHERE,
  ),
  unreachable: refused(
    503,
    'No connection could be made.',
    RETRYABLE_ELSEWHERE,
  ),
  quarantined: refused(
    503,
    'Backend servers crashed each time they ran this request.',
    RETRYABLE,
  ),
  ledgerUnavailable: refused(
    503,
    'The ledger could not confirm the claim; nothing was dispatched.',
    RETRYABLE,
  ),
  notLeader: refused(503, 'Control has no leader at this moment.', RETRYABLE),
  callerGone: mayHaveRun(499, 'The caller closed the connection.'),
  backendFailed: mayHaveRun(502, 'The backend server failed.'),
  answerTruncated: mayHaveRun(502, 'The answer ended before it was whole.'),
  backendSilent: mayHaveRun(504, 'The backend server went silent.'),
  deadlineExceeded: mayHaveRun(504, 'The deadline passed during the answer.'),
  inProgress: mayHaveRun(409, 'A call with this key is still running.'),
  outcomeUnknown: mayHaveRun(
    409,
    'A call with this key was dispatched; its outcome is not known.',
  ),
  answerNotKept: mayHaveRun(
    410,
    'A call with this key has run; its answer is no longer kept.',
    RAN,
  ),
  internal: mayHaveRun(500, 'The request failed inside lovagepond.'),
} as const satisfies Record<string, ErrorAnswer>;

export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** A failure as it is passed between components and processes. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly message: string;
  /** Milliseconds until the caller may retry; 0 when not retryable. */
  readonly retryAfterMs: number;
}

/**
 * @param kind an error kind
 * @param details a more specific message, or the delay before a retry
 *     (milliseconds)
 * @returns the failure, with the kind's default message unless one is given
 */
export function makeFailure(
  kind: ErrorKind,
  details: {message?: string; retryAfterMs?: number} = {},
): Failure {
  return {
    kind,
    message: details.message ?? ERROR_ANSWERS[kind].message,
    retryAfterMs: details.retryAfterMs ?? 0,
  };
}

/**
 * @param text an error kind received from another process
 * @returns the kind, or `internal` when this version doesn't support it
 */
export function parseErrorKind(text: string): ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text) ? (text as ErrorKind) : 'internal';
}

/**
 * @param kind an error kind
 * @returns the answer for this kind
 */
export function answerFor(kind: ErrorKind): ErrorAnswer {
  return ERROR_ANSWERS[kind];
}

/** A value, or the failure that occurred instead. */
export type Result<Value> =
  | {readonly ok: true; readonly value: Value}
  | {readonly ok: false; readonly failure: Failure};

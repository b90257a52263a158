/**
 * One call of the administration API, parsed and checked, and the mapping of
 * control's outcomes to replies.
 */
import {type ParsedUrlQuery} from 'node:querystring';
import {
  type Administration,
  type AdministrationRefusal,
  type ConfigurationOutcome,
  type OperationOutcome,
} from './operator_administration.js';
import {
  type AdministrationReply,
  replyWith,
  replyWithError,
} from './operator_http.js';

/** A call as a handler gets it. */
export interface AdministrationCall {
  readonly administration: Administration;
  /** Named parts of the path. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: ParsedUrlQuery;
  /** Parsed JSON; undefined for an empty body. */
  readonly body: unknown;
  /** The Operation-Id header; never empty in a change. */
  readonly operationId: string;
  /** The If-Match header as a revision. */
  readonly baseRevision: number | undefined;
  readonly dryRun: boolean;
}

/** Answers one kind of call. */
export type CallHandler = (
  call: AdministrationCall,
) => Promise<AdministrationReply>;

const REFUSAL_REPLIES: {
  readonly [Kind in AdministrationRefusal['kind']]: (
    refusal: Extract<AdministrationRefusal, {kind: Kind}>,
  ) => AdministrationReply;
} = {
  notLeader: ({leader}) =>
    leader === undefined
      ? replyWithError('notLeader')
      : replyWithError('notLeader', {
          message: `The leader is ${leader}.`,
          leader,
        }),
  unknown: () =>
    replyWithError('outcomeUnknown', {
      message: 'The change may have been made: resend it with the same id.',
    }),
  notFound: ({message}) => replyWithError('notFound', {message}),
  badRequest: ({message}) => replyWithError('badRequest', {message}),
};

function replyToRefusal(refusal: AdministrationRefusal): AdministrationReply {
  return REFUSAL_REPLIES[refusal.kind](refusal as never);
}

const CONFIGURATION_REPLIES: {
  readonly [Kind in ConfigurationOutcome['kind']]: (
    outcome: Extract<ConfigurationOutcome, {kind: Kind}>,
  ) => AdministrationReply;
} = {
  accepted: ({revision, differences}) =>
    replyWith({revision, differences}, {etag: `"${revision}"`}),
  conflict: ({currentRevision, differences}) =>
    replyWithError('conflict', {
      message: `The current revision is ${currentRevision}.`,
      currentRevision,
      differences,
    }),
  invalid: ({faults}) => replyWithError('invalidConfiguration', {faults}),
  notLeader: replyToRefusal,
  unknown: replyToRefusal,
  notFound: replyToRefusal,
  badRequest: replyToRefusal,
};

/**
 * @param outcome control's answer to a change of the configuration
 * @returns the reply to the operator
 */
export function replyToConfigurationOutcome(
  outcome: ConfigurationOutcome,
): AdministrationReply {
  return CONFIGURATION_REPLIES[outcome.kind](outcome as never);
}

/**
 * @param outcome control's answer to any other change
 * @returns the reply to the operator
 */
export function replyToOutcome(
  outcome: OperationOutcome<unknown>,
): AdministrationReply {
  if (outcome.kind === 'accepted') return replyWith(outcome.value);
  return replyToRefusal(outcome);
}

/**
 * @param header an If-Match header, for example `"12"`
 * @returns the revision; undefined when there is none that can be read
 */
export function parseRevision(header: string | undefined): number | undefined {
  const digits = /^"?(\d{1,15})"?$/.exec(header?.trim() ?? '')?.[1];
  return digits === undefined ? undefined : Number(digits);
}

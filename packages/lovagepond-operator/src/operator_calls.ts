/**
 * Parsed calls of the administration API, and the mapping of control's answers
 * to HTTP replies.
 */
import {type ParsedUrlQuery} from 'node:querystring';
import {
  type ChangeAnswer,
  type ControlAdministration,
  type OperationAnswer,
  type OrderAnswer,
} from '@lovagepond/control';
import {
  type AdministrationReply,
  replyWith,
  replyWithError,
} from './operator_http.js';

/** A parsed call, as its handler receives it. */
export interface AdministrationCall {
  readonly administration: ControlAdministration;
  /** Values of the named path segments. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: ParsedUrlQuery;
  /** Parsed JSON; undefined for an empty body. */
  readonly body: unknown;
  /** The Operation-Id header; never empty for a change. */
  readonly operationId: string;
  /** The If-Match header as a revision. */
  readonly baseRevision: number | undefined;
  readonly dryRun: boolean;
}

/** Handles the calls of one route. */
export type CallHandler = (
  call: AdministrationCall,
) => AdministrationReply | Promise<AdministrationReply>;

type Answer = ChangeAnswer | OperationAnswer | OrderAnswer;
type AnswerOf<Kind> = Extract<Answer, {kind: Kind}>;

function replyToAccepted(answer: AnswerOf<'accepted'>): AdministrationReply {
  if (!('revision' in answer)) return replyWith(answer);
  return replyWith(answer, {etag: `"${answer.revision}"`});
}

const ANSWER_REPLIES: {
  readonly [Kind in Answer['kind']]: (
    answer: AnswerOf<Kind>,
  ) => AdministrationReply;
} = {
  accepted: replyToAccepted,
  conflict: ({currentRevision, differences}) =>
    replyWithError('conflict', {
      message: `The current revision is ${currentRevision}.`,
      currentRevision,
      differences,
    }),
  invalid: ({faults}) => replyWithError('invalidConfiguration', {faults}),
  notLeader: ({leader}) =>
    leader === ''
      ? replyWithError('notLeader')
      : replyWithError('notLeader', {
          message: `The leader is ${leader}.`,
          leader,
        }),
  unknown: () =>
    replyWithError('outcomeUnknown', {
      message: 'The change may have been made: resend it with the same id.',
    }),
};

/**
 * @param answer control's answer to a change of any kind
 * @returns the reply to the operator
 */
export function replyToAnswer(answer: Answer): AdministrationReply {
  return ANSWER_REPLIES[answer.kind](answer as never);
}

/**
 * @param header an If-Match header, for example `"12"`
 * @returns the revision; undefined when the header is missing or malformed
 */
export function parseRevision(header: string | undefined): number | undefined {
  const digits = /^"?(\d{1,15})"?$/.exec(header?.trim() ?? '')?.[1];
  return digits === undefined ? undefined : Number(digits);
}

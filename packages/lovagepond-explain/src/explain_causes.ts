/**
 * Maps the outcome or refusal reason of a request to its cause.
 */
import {formatValue, type LogLine} from './explain_line.js';
import {type RequestReport} from './explain_request.js';

const FAILED_MESSAGE = 'attempt failed';
const RETRY_REFUSED_MESSAGE = 'retry refused';
const ADMISSION_MESSAGE = 'request refused by admission';

type Cause = (report: RequestReport) => string;

const CAUSES: Readonly<Record<string, Cause>> = {
  answered: ({lines}) =>
    lines.length > 1
      ? 'a retry was answered; the lines above show why the first attempt failed'
      : 'the first attempt was answered; if that took long, the time was ' +
        'spent at the server: check the load of the server at that time',
  failed: () =>
    'the server ran the request and answered with an error of its own',
  cut: report =>
    `the server broke off (${lastReason(report)}); a partial answer that no ` +
    'other server may continue is aborted, so that it never looks complete. ' +
    'Only servers of the version that began a stream may continue it',
  callerGone: () =>
    'the caller closed its connection before the answer was complete',
  notReady: ({processState}) =>
    processState?.revision === undefined
      ? 'the process had just started and held no configuration yet: check ' +
        'when control elected a leader (control leads)'
      : 'control had not confirmed the configuration in use for too long: ' +
        'search for "control subscription lost" and "control leads"',
  unauthorized: ({processState}) =>
    `revision ${processState?.revision ?? '?'} has no such key, and control had ` +
    'confirmed this revision within two seconds: the version with the key ' +
    'was accepted later, or never',
  notFound: ({processState}) =>
    `revision ${processState?.revision ?? '?'} has no such selector, and control had ` +
    'confirmed this revision within two seconds',
  quarantined: () =>
    'servers crashed while they ran the request, or others with a part of its ' +
    'prompt: search for its fingerprint and its parts in ' +
    '"request quarantined" and "backend server crashed", or run ' +
    '"lovagepond ctl quarantine list"',
  noBackendServer: ({processState}) =>
    `no server of the pool accepted work; ${processState?.servers ?? 'no'} servers were known`,
  overloaded: report =>
    describeRefusal(report) ??
    'every server that was tried was full and refused to run the request',
  streamUnknown: report =>
    `no gateway that answered knows which servers began the stream ${resumedStream(report)}: ` +
    'its first event was passed on too long ago or never, or the gateways that ' +
    'kept its record have restarted; "stream looked up" has in "refusal" why ' +
    'control could not tell either; search for that id in "request ended"',
  streamVersionGone: report =>
    `no server of the version that began the stream ${resumedStream(report)} took the ` +
    'request, and servers of other versions must not continue it; "stream ' +
    'looked up" names pool and version',
  unreachable: () => 'the connection to every server that was tried failed',
  deadlineUnreachable: report =>
    describeRefusal(report) ??
    'the deadline left no time to send the request to a server',
  backendFailed: report =>
    `the server broke off (${lastReason(report)}) and may have run the request`,
  backendSilent: () => 'the server sent no answer before the deadline',
};

/** What a refusal by admission control means, by its reason. */
const ADMISSION_REASONS: Readonly<Record<string, string>> = {
  queueFull: "the gateway's queue of the pool was full",
  flowFull:
    'its workspace had as many requests of this priority waiting as could ' +
    'start in time',
  expired: 'it could not be answered within its target any more',
  deadline: 'it could not be answered before its deadline',
};

/** Why a request was not sent once more, by the logged reason. */
const RETRY_REASONS: Readonly<Record<string, string>> = {
  noneLeft:
    'all gateways together had sent as many retries in the window as they may; ' +
    'see lovagepond_retries_left and lovagepond_control_retries_refused_total',
  unanswered:
    'control did not answer in time, and the gateway had no retry of its own; ' +
    'search for "control leads" and "control subscription lost"',
};

const UNKNOWN_CAUSE =
  'the request itself is at fault: see the table of errors in OPERATIONS';

/** @returns why admission control refused the request; undefined if not */
function describeRefusal({lines}: RequestReport): string | undefined {
  const line = lines.findLast(
    ({message}) => message === ADMISSION_MESSAGE || message === FAILED_MESSAGE,
  );
  if (line?.message !== ADMISSION_MESSAGE) return undefined;
  const text = (name: string): string => formatValue(line.fields[name]);
  const reason = ADMISSION_REASONS[text('reason')] ?? text('reason');
  return (
    `pool ${text('pool')} was congested and the gateway refused the request ` +
    `without running it: ${reason}; workspace ${text('workspace') || '(none)'}, ` +
    `waited ${text('waitMs')} ms, ${text('waiting')} requests waiting; search ` +
    'for "pool is congested"'
  );
}

/** @returns why the request was not sent once more; empty if it could be */
function describeRetry({lines}: RequestReport): string {
  const line = lines.findLast(({message}) => message === RETRY_REFUSED_MESSAGE);
  if (!line) return '';
  const reason = formatValue(line.fields['reason']);
  const pool = formatValue(line.fields['pool']);
  return `; a retry in pool ${pool} was refused: ${RETRY_REASONS[reason] ?? reason}`;
}

/** @returns how long the request waited in the gateway; empty if it did not */
function describeWait({waitMs}: LogLine['fields']): string {
  const text = formatValue(waitMs);
  return text && `; it waited ${text} ms at the gateway before it was sent`;
}

/** @returns id of the request that began the resumed stream; empty if unknown */
function resumedStream({lines}: RequestReport): string {
  const line = lines.findLast(({fields}) => fields['resumes'] !== undefined);
  return formatValue(line?.fields['resumes']);
}

/** @returns the logged reason of the last failed attempt */
function lastReason({lines}: RequestReport): string {
  const failed = lines.findLast(({message}) => message === FAILED_MESSAGE);
  return formatValue(failed?.fields['reason']) || 'no reason was logged';
}

/**
 * @param report the report of one request
 * @returns the probable cause, for people
 */
export function describeCause(report: RequestReport): string {
  const last = report.lines.findLast(({message}) =>
    message.startsWith('request '),
  );
  if (!last) {
    return 'no line logs its end: the request was in flight, or lines are missing';
  }
  const {outcome, reason} = last.fields;
  const kind = formatValue(outcome) || formatValue(reason);
  const cause = CAUSES[kind]?.(report) ?? UNKNOWN_CAUSE;
  return `${cause}${describeRetry(report)}${describeWait(last.fields)}`;
}

/**
 * Outcome or refusal of a request → what brought it about.
 */
import {formatValue} from './explain_line.js';
import {type RequestReport} from './explain_request.js';

type Cause = (report: RequestReport) => string;

const CAUSES: Readonly<Record<string, Cause>> = {
  answered: ({lines}) =>
    lines.length > 1
      ? 'it was answered after a second try; its lines tell why the first failed'
      : 'it was answered at the first try; a long duration is the time of the server: ' +
        'look at what else it had then',
  failed: () => 'the server ran it and answered with a failure of its own',
  cut: report =>
    `the server broke off (${lastReason(report)}); a begun answer that may ` +
    'not go on at another server is broken off, so that it never looks whole',
  callerGone: () => 'the caller closed its connection before the answer',
  notReady: ({processState}) =>
    processState?.revision === undefined
      ? 'the process had just started and held no configuration yet: look for ' +
        'when control had a leader again'
      : 'control had not confirmed the configuration held for too long: look ' +
        'for control subscription lost and control leads',
  unauthorized: ({processState}) =>
    `revision ${processState?.revision ?? '?'} has no such key, and control had ` +
    'confirmed it within two seconds: the version with the key was accepted ' +
    'later, or never',
  notFound: ({processState}) =>
    `revision ${processState?.revision ?? '?'} has no such selector, and control had ` +
    'confirmed it within two seconds',
  quarantined: () =>
    'servers crashed each time they ran it: look for its fingerprint in request ' +
    'quarantined and backend server crashed, or list them by ctl quarantine list',
  noBackendServer: ({processState}) =>
    `the pool had no server that takes work, of ${processState?.servers ?? 'no'} known`,
  overloaded: () => 'each server that was tried refused it as full, unrun',
  unreachable: () => 'no server that was tried could be connected to',
  deadlineUnreachable: () => 'no time was left to offer it to a server',
  backendFailed: report =>
    `the server broke off (${lastReason(report)}) and may have run it`,
  backendSilent: () => 'the server gave no answer within the time there was',
};

const UNKNOWN_CAUSE =
  'a fault of the request itself: the table of errors in OPERATIONS tells';

/** @returns why the last attempt failed */
function lastReason({lines}: RequestReport): string {
  const failed = lines.findLast(({message}) => message === 'attempt failed');
  return formatValue(failed?.fields['reason']) || 'no reason was logged';
}

/**
 * @param report what is known of a request
 * @returns the cause in words
 */
export function describeCause(report: RequestReport): string {
  const last = report.lines.findLast(({message}) =>
    message.startsWith('request '),
  );
  if (!last) {
    return 'no line tells its end: it was under way, or lines are lost';
  }
  const {outcome, reason} = last.fields;
  const kind = formatValue(outcome) || formatValue(reason);
  return CAUSES[kind]?.(report) ?? UNKNOWN_CAUSE;
}

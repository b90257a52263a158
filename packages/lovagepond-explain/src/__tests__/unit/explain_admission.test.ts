import {describe, expect, it} from 'vitest';
import {
  type LogLine,
  parseLine,
  renderRequest,
  renderSummary,
  RequestReportBuilder,
  SummaryBuilder,
} from '../../index.js';

/** A line as a gateway writes it. */
function logged(message: string, fields: object, time: number): LogLine {
  const identity = {name: 'g', role: 'gateway', request: 'r1'};
  const context = {...identity, ...fields};
  const line = parseLine(JSON.stringify({context, message, time}));
  if (!line) throw new Error('expected a line that can be parsed');
  return line;
}

const REFUSAL = logged(
  'request refused by admission',
  {
    ...{workspace: 'nord', kind: 'read', pool: 'models', reason: 'flowFull'},
    ...{retryAfterMs: 900, waitMs: 0, waiting: 31},
  },
  1_000,
);

const FAILED = logged(
  'attempt failed',
  {server: 's', outcome: 'notRun', reason: 'server refused 503'},
  900,
);

const ENDED = {rule: 'read', pool: 'models', servers: '', durationMs: 1};

const OVERLOADED = logged(
  'request ended',
  {...ENDED, outcome: 'overloaded', status: 503},
  1_001,
);

function explain(lines: readonly LogLine[]): string {
  const builder = new RequestReportBuilder('r1');
  for (const line of lines) builder.take(line);
  const report = builder.build();
  if (!report) throw new Error('expected a report');
  return renderRequest(report);
}

describe('a request refused by admission control', () => {
  // Guards against a report that blames servers which never saw the request.
  it('is explained by the reason and the queue', () => {
    const text = explain([REFUSAL, OVERLOADED]);
    expect(text).toContain('cause: pool models was congested');
    expect(text).toContain('workspace nord, waited 0 ms, 31 requests waiting');
    expect(text).not.toContain('every server that was tried');
  });

  it('is not explained so if servers refused a later attempt', () => {
    const later = {...FAILED, timeMs: 1_000.5};
    const text = explain([REFUSAL, later, OVERLOADED]);
    expect(text).toContain('cause: every server that was tried was full');
  });

  it('has its reason in the summary', () => {
    const builder = new SummaryBuilder();
    for (const line of [REFUSAL, OVERLOADED]) builder.take(line);
    const text = renderSummary(builder.build());
    expect(text).toContain('overloaded (admission: flowFull)');
  });
});

it('tells how long an answered request waited at the gateway', () => {
  const fields = {...ENDED, outcome: 'answered', status: 200};
  const waited = logged('request ended', {...fields, waitMs: 85}, 1_000);
  expect(explain([waited])).toContain('it waited 85 ms at the gateway');
  const direct = logged('request ended', fields, 1_000);
  expect(explain([direct])).not.toContain('waited');
});

describe('a request whose retry was refused', () => {
  // Guards against a report that names the failed attempt only, as if nobody had
  // wanted to try again.
  it.each([
    ['noneLeft', 'all gateways together had sent as many retries'],
    ['unanswered', 'control did not answer in time'],
  ])('is explained by the reason %s', (reason, cause) => {
    const refused = logged('retry refused', {pool: 'models', reason}, 950);
    const failed = {...ENDED, outcome: 'backendFailed', status: 502};
    const ended = logged('request ended', failed, 1_001);
    const text = explain([FAILED, refused, ended]);
    expect(text).toContain('a retry in pool models was refused');
    expect(text).toContain(cause);
  });

  it('says nothing of retries where none was refused', () => {
    expect(explain([FAILED, OVERLOADED])).not.toContain('retry');
  });
});

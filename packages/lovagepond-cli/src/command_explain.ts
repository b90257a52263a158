/**
 * `lovagepond explain`: reports from log files on one request, on the state of
 * each process at a given time, or on all requests.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {type Readable} from 'node:stream';
import {
  type LogLine,
  parseLine,
  ProcessStateTracker,
  renderProcessStates,
  renderRequest,
  renderSummary,
  RequestReportBuilder,
  SummaryBuilder,
} from '@lovagepond/explain';
import {EXIT_CODE, type ExitCode} from '@lovagepond/process';

/** Lines between two progress messages on a terminal. */
const PROGRESS_LINES = 200_000;

/** What to report on; exactly one of the fields is set. */
export interface ExplainQuery {
  readonly request?: string;
  /** ISO time, or milliseconds since 1970. */
  readonly at?: string;
  readonly summary?: boolean;
}

interface Output {
  write(text: string): void;
}

function parseTime(text: string): number | undefined {
  const number = Number(text);
  const time = Number.isFinite(number) ? number : Date.parse(text);
  return Number.isNaN(time) ? undefined : time;
}

function openAll(files: readonly string[]): readonly Readable[] {
  if (files.length === 0) return [process.stdin];
  return files.map(file => createReadStream(file));
}

async function readLines(
  inputs: readonly Readable[],
  onLine: (line: LogLine) => void,
  onProgress: (lines: number) => void,
): Promise<void> {
  let count = 0;
  for (const input of inputs) {
    const lines = createInterface({input});
    for await (const text of lines) {
      count += 1;
      if (count % PROGRESS_LINES === 0) onProgress(count);
      const line = parseLine(text);
      if (line) onLine(line);
    }
  }
}

function showProgress(lines: number): void {
  if (!process.stderr.isTTY) return;
  process.stderr.write(`\r${lines} lines read`);
}

/**
 * @param query what to report on
 * @param files log files; standard input when there are none
 * @param out receives the report
 * @returns the exit code
 */
export async function runExplain(
  {request, at, summary = false}: ExplainQuery,
  files: readonly string[],
  out: Output = process.stdout,
): Promise<ExitCode> {
  const time = at === undefined ? undefined : parseTime(at);
  const selected = [request !== undefined, at !== undefined, summary];
  if (selected.filter(Boolean).length !== 1) {
    process.stderr.write(
      'exactly one of a request id, --at TIME and --summary is needed\n',
    );
    return EXIT_CODE.USAGE;
  }
  if (at !== undefined && time === undefined) {
    process.stderr.write(
      `--at ${at}: is neither an ISO time nor milliseconds since 1970\n`,
    );
    return EXIT_CODE.USAGE;
  }
  try {
    const inputs = openAll(files);
    if (summary) return await explainSummary(inputs, out);
    return request === undefined
      ? await explainProcessStates(time ?? 0, inputs, out)
      : await explainRequest(request, inputs, out);
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    process.stderr.write(`${reason}\n`);
    return EXIT_CODE.START;
  }
}

async function explainRequest(
  id: string,
  inputs: readonly Readable[],
  out: Output,
): Promise<ExitCode> {
  const builder = new RequestReportBuilder(id);
  const onLine = (line: LogLine): void => {
    builder.take(line);
  };
  await readLines(inputs, onLine, showProgress);
  const report = builder.build();
  if (!report) {
    process.stderr.write(`no line names the request ${id}\n`);
    return EXIT_CODE.NOT_FOUND;
  }
  out.write(renderRequest(report));
  return EXIT_CODE.OK;
}

async function explainSummary(
  inputs: readonly Readable[],
  out: Output,
): Promise<ExitCode> {
  const builder = new SummaryBuilder();
  const onLine = (line: LogLine): void => {
    builder.take(line);
  };
  await readLines(inputs, onLine, showProgress);
  out.write(renderSummary(builder.build()));
  return EXIT_CODE.OK;
}

async function explainProcessStates(
  time: number,
  inputs: readonly Readable[],
  out: Output,
): Promise<ExitCode> {
  const tracker = new ProcessStateTracker();
  const onLine = (line: LogLine): void => {
    if (line.timeMs <= time) tracker.take(line);
  };
  await readLines(inputs, onLine, showProgress);
  out.write(renderProcessStates(tracker.list()));
  return EXIT_CODE.OK;
}

/**
 * `lovagepond explain`: one request's account, what the fleet believed, or what
 * became of all requests.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {type Readable} from 'node:stream';
import {
  Beliefs,
  type LogLine,
  parseLine,
  renderBeliefs,
  renderRequest,
  renderSummary,
  RequestEvidence,
  SummaryEvidence,
} from '@lovagepond/explain';
import {EXIT_CODE, type ExitCode} from '@lovagepond/process';

/** Lines after which progress is shown, where somebody looks on. */
const PROGRESS_LINES = 200_000;

/** What is asked: about one request, about a time, or about all requests. */
export interface ExplainQuestion {
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
  take: (line: LogLine) => void,
  onProgress: (lines: number) => void,
): Promise<void> {
  let count = 0;
  for (const input of inputs) {
    const lines = createInterface({input});
    for await (const text of lines) {
      count += 1;
      if (count % PROGRESS_LINES === 0) onProgress(count);
      const line = parseLine(text);
      if (line) take(line);
    }
  }
}

function showProgress(lines: number): void {
  if (!process.stderr.isTTY) return;
  process.stderr.write(`\r${lines} lines read`);
}

/**
 * @param question what to explain
 * @param files log files; standard input when there are none
 * @param out where the account goes
 * @returns the exit code
 */
export async function runExplain(
  {request, at, summary = false}: ExplainQuestion,
  files: readonly string[],
  out: Output = process.stdout,
): Promise<ExitCode> {
  const time = at === undefined ? undefined : parseTime(at);
  const asked = [request !== undefined, at !== undefined, summary];
  if (asked.filter(Boolean).length !== 1) {
    process.stderr.write('say a request id, --at TIME or --summary: one\n');
    return EXIT_CODE.USAGE;
  }
  if (at !== undefined && time === undefined) {
    process.stderr.write(`no time: ${at}\n`);
    return EXIT_CODE.USAGE;
  }
  try {
    const inputs = openAll(files);
    if (summary) return await explainAll(inputs, out);
    return request === undefined
      ? await explainTime(time ?? 0, inputs, out)
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
  const evidence = new RequestEvidence(id);
  const take = (line: LogLine): void => {
    evidence.take(line);
  };
  await readLines(inputs, take, showProgress);
  const account = evidence.collect();
  if (!account) {
    process.stderr.write(`no line names the request ${id}\n`);
    return EXIT_CODE.NOT_FOUND;
  }
  out.write(renderRequest(account));
  return EXIT_CODE.OK;
}

async function explainAll(
  inputs: readonly Readable[],
  out: Output,
): Promise<ExitCode> {
  const evidence = new SummaryEvidence();
  const take = (line: LogLine): void => {
    evidence.take(line);
  };
  await readLines(inputs, take, showProgress);
  out.write(renderSummary(evidence.collect()));
  return EXIT_CODE.OK;
}

async function explainTime(
  time: number,
  inputs: readonly Readable[],
  out: Output,
): Promise<ExitCode> {
  const beliefs = new Beliefs();
  const take = (line: LogLine): void => {
    if (line.timeMs <= time) beliefs.take(line);
  };
  await readLines(inputs, take, showProgress);
  out.write(renderBeliefs(beliefs.list()));
  return EXIT_CODE.OK;
}

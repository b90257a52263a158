import {describe, expect, it} from 'vitest';
import {ReadingReportLog} from '../../reading_report_log.js';

const reading = (
  prefix: string,
): {
  backendServer: string;
  prefix: string;
  tokens: number;
} => ({backendServer: 's', prefix, tokens: 700});

describe('ReadingReportLog', () => {
  // Gateways report their numbers of requests many times a second. These
  // reports must not displace the readings: a gateway that starts later would
  // have cached prompts processed again by other servers.
  it('keeps readings after any number of reports without readings', () => {
    const board = new ReadingReportLog();
    expect(board.isEmpty).toBe(true);
    for (let at = 0; at < 3_000; at += 1) {
      const running = [
        {
          backendServer: 's',
          requests: at,
          ended: 0,
          failed: 0,
          prefillTokens: 0,
        },
      ];
      board.add({node: 'g', readings: [], running});
    }
    expect(board.isEmpty).toBe(true);
    board.add({node: 'g', readings: [reading('/a')], running: []});
    for (let at = 0; at < 3_000; at += 1) {
      const running = [
        {
          backendServer: 's',
          requests: at,
          ended: 0,
          failed: 0,
          prefillTokens: 0,
        },
      ];
      board.add({node: 'g', readings: [], running});
    }
    expect(board.isEmpty).toBe(false);
    expect(board.history()).toEqual([
      {node: '', readings: [{...reading('/a'), tokens: 0}], running: []},
    ]);
  });

  it('returns the reports after a sequence number', () => {
    const board = new ReadingReportLog();
    for (let at = 0; at < 2_500; at += 1) {
      board.add({node: `${at}`, readings: [], running: []});
    }
    const nodes = board.since(2_497).map(({node}) => node);
    expect(nodes).toEqual(['2497', '2498', '2499']);
    expect(board.since(2_500)).toEqual([]);
  });

  it('drops the oldest readings', () => {
    const board = new ReadingReportLog();
    for (let at = 0; at < 10_000; at += 1) {
      board.add({node: 'g', readings: [reading(`/${at}`)], running: []});
    }
    const [all] = board.history();
    expect(all?.readings).toHaveLength(2_048);
    expect(all?.readings.at(-1)?.prefix).toBe('/9999');
  });

  // A subscriber that was stalled for longer than the kept reports last would
  // otherwise never learn of the readings in between.
  it('tells whether a subscriber has missed reports', () => {
    const log = new ReadingReportLog();
    expect(log.keepsSince(0)).toBe(true);
    for (let at = 0; at < 10_000; at += 1) {
      log.add({node: 'g', readings: [reading(`/${at}`)], running: []});
    }
    expect(log.keepsSince(9_999)).toBe(true);
    expect(log.keepsSince(0)).toBe(false);
  });
});

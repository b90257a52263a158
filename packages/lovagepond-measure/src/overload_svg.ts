/**
 * Plots goodput over load as an SVG file, without and with admission control.
 */
import {type OverloadSummary} from './overload_report.js';
import {CURVE_NAME} from './overload_scenarios.js';

const WIDTH = 640;
const HEIGHT = 400;
const MARGIN = 50;
const MAX_LOAD = 3;
const COLORS = ['#b03030', '#e08040', '#205090', '#40a0c0'];

function xOf(load: number): number {
  return MARGIN + (load / MAX_LOAD) * (WIDTH - 2 * MARGIN);
}

function yOf(goodput: number): number {
  return HEIGHT - MARGIN - goodput * (HEIGHT - 2 * MARGIN);
}

function text(x: number, y: number, content: string, more = ''): string {
  return `<text x="${x}" y="${y}" font-size="12" font-family="sans-serif" ${more}>${content}</text>`;
}

function axes(): string[] {
  const loads = [0, 0.5, 1, 1.5, 2, 2.5, 3];
  const goodputs = [0, 0.25, 0.5, 0.75, 1];
  return [
    ...loads.map(load =>
      text(
        xOf(load),
        HEIGHT - MARGIN + 18,
        String(load),
        'text-anchor="middle"',
      ),
    ),
    ...goodputs.flatMap(value => [
      `<path d="M${xOf(0)} ${yOf(value)}H${xOf(MAX_LOAD)}" stroke="#ccc"/>`,
      text(MARGIN - 8, yOf(value) + 4, String(value), 'text-anchor="end"'),
    ]),
    text(WIDTH / 2, HEIGHT - 10, 'load / capacity', 'text-anchor="middle"'),
    text(10, 20, 'goodput / capacity'),
  ];
}

/**
 * @param summaries all runs; those of other scenarios are left out
 * @returns the text of the SVG file
 */
export function plotGoodput(summaries: readonly OverloadSummary[]): string {
  const curves = new Map<string, {load: number; goodput: number}[]>();
  for (const {scenario, admission, rows} of summaries) {
    const [, load, queue] = CURVE_NAME.exec(scenario) ?? [];
    if (!load || !rows[0]) continue;
    const name = `queue ${queue}, admission ${admission ? 'on' : 'off'}`;
    const points = curves.get(name) ?? [];
    points.push({load: Number(load), goodput: rows[0].goodput});
    curves.set(name, points);
  }
  const lines = [...curves].sort().flatMap(([name, points], at) => {
    const color = COLORS[at % COLORS.length];
    points.sort((left, right) => left.load - right.load);
    const path = points.map(one => `${xOf(one.load)},${yOf(one.goodput)}`);
    return [
      `<polyline points="${path.join(' ')}" fill="none" stroke="${color}" stroke-width="2"/>`,
      text(WIDTH - 210, 20 + 16 * at, name, `fill="${color}"`),
    ];
  });
  const box = `viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" height="${HEIGHT}"`;
  const svg = [
    `<svg xmlns="http://www.w3.org/2000/svg" ${box}>`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...axes(),
    ...lines,
    '</svg>',
  ];
  return `${svg.join('\n')}\n`;
}

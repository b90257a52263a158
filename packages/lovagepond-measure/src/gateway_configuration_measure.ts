/**
 * The cost of one change to a large configuration at a gateway.
 */
import {
  applyDelta,
  type Configuration,
  configurationSchema,
  decodeConfiguration,
  decodeDelta,
  encodeConfiguration,
  encodeDelta,
  invariant,
  makeDelta,
  Random,
} from '@lovagepond/core';
import {ForwardingRules} from '@lovagepond/gateway/deciders';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SEED = 1_640;
const RULE_COUNTS = [250, 1_900] as const;
const HOSTS = 6;
const WORKSPACES = 24;
const WARM_UP_RUNS = 10;
const RUNS = 30;
const LOOKUPS = 20_000;

const FORWARDING = {
  timeoutMs: 800,
  targetLatencyMs: 300,
  maxAttempts: 2,
  priority: 7,
  streaming: false,
  resumable: false,
  sticky: false,
};

function makeConfiguration(rules: number, random: Random): Configuration {
  const word = (): string => random.next().toString(36).slice(2, 9);
  const hosts = Array.from({length: HOSTS}, () => `${word()}.example`);
  const names = Array.from({length: rules}, (_, at) => `r-${word()}${at}`);
  const content = configurationSchema.parse({
    pools: [{name: 'calls', kind: 'service'}],
    workspaces: Array.from({length: WORKSPACES}, (_, at) => ({
      name: `w${at}`,
      apiKeys: [word() + word(), word() + word()],
    })),
    requestKinds: names.map(name => ({name, forwarding: FORWARDING})),
    selectors: names.map((name, at) => ({
      name,
      workspaces: ['*'],
      requestKinds: [name],
      pools: '',
      match: {host: hosts[at % HOSTS], pathPrefix: `/${word()}${at}/`},
      poolWeights: [{pool: 'calls', weight: 1}],
      public: false,
    })),
  });
  return {revision: 1, content};
}

/** @returns the mean time of a call, milliseconds */
function time(run: () => unknown): number {
  for (let turn = 0; turn < WARM_UP_RUNS; turn += 1) run();
  const started = performance.now();
  for (let turn = 0; turn < RUNS; turn += 1) run();
  return (performance.now() - started) / RUNS;
}

function measureLookup(configuration: Configuration): number {
  const rules = new ForwardingRules(configuration);
  const matches = configuration.content.selectors.flatMap(
    ({match}) => match ?? [],
  );
  const started = performance.now();
  for (let turn = 0; turn < LOOKUPS; turn += 1) {
    const {host = '', pathPrefix = ''} = matches[turn % matches.length] ?? {};
    rules.find(host, `${pathPrefix}2f`);
  }
  return ((performance.now() - started) * 1_000) / LOOKUPS;
}

/** @returns the next configuration, with one rule's timeout changed */
function changeOneRule({revision, content}: Configuration): Configuration {
  const [first, ...rest] = content.requestKinds;
  invariant(
    first !== undefined,
    802,
    'the configuration has no rule to change',
  );
  const changed = {...first, forwarding: {...FORWARDING, timeoutMs: 700}};
  const requestKinds = [changed, ...rest];
  return {revision: revision + 1, content: {...content, requestKinds}};
}

function takeDelta(held: Configuration, bytes: Uint8Array): Configuration {
  const delta = decodeDelta(bytes);
  const next = delta && applyDelta(held, delta);
  invariant(
    next !== undefined,
    803,
    'a delta for the held revision does not apply',
  );
  return next;
}

function measureRow(rules: number): (string | number)[] {
  const configuration = makeConfiguration(rules, new Random(SEED));
  const bytes = encodeConfiguration(configuration);
  const delta = makeDelta(configuration, changeOneRule(configuration));
  invariant(
    delta !== undefined,
    804,
    'no delta was made for a change of one rule',
  );
  const deltaBytes = encodeDelta(delta);
  return [
    rules,
    bytes.length,
    deltaBytes.length,
    roundTo(
      time(() => decodeConfiguration(bytes)),
      1,
    ),
    roundTo(
      time(() => takeDelta(configuration, deltaBytes)),
      1,
    ),
    roundTo(
      time(() => new ForwardingRules(configuration)),
      1,
    ),
    roundTo(measureLookup(configuration), 2),
  ];
}

/** @returns bytes and processor time, by the number of rules */
export function measureGatewayConfiguration(): Promise<MeasureSection[]> {
  return Promise.resolve([
    {
      title: 'One change of the configuration at a gateway',
      columns: [
        'rules',
        'bytes of all',
        'bytes of one change',
        'decoding all, ms',
        'applying one change, ms',
        'building rules, ms',
        'finding a rule, µs',
      ],
      rows: RULE_COUNTS.map(measureRow),
      notes: [
        `seed ${SEED}; npm run measure -- gateway-configuration`,
        `means of ${RUNS} runs after ${WARM_UP_RUNS} to warm up; rules over ` +
          `${HOSTS} hosts, ${WORKSPACES} workspaces`,
      ],
    },
  ]);
}

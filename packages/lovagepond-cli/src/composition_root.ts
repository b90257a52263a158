/**
 * Composition root: creates a role and injects its dependencies. No other
 * module uses the dependency injection container.
 */
import 'reflect-metadata';
import {type Clock, Random} from '@lovagepond/core';
import {
  type ExitCode,
  type FileValues,
  MetricsRegistry,
  ProcessRunner,
  registerProcessMetrics,
  RoarrLogger,
  SystemClock,
} from '@lovagepond/process';
import {
  container,
  type DependencyContainer,
  inject,
  injectable,
} from 'tsyringe';
import {type RoleDefinition} from './role_definition.js';
import {registerRoleMetrics} from './role_metrics.js';
import {SettingsReloader} from './settings_reloader.js';
import {
  type COMMON_SECTIONS,
  type ProcessValues,
  toProcessSettings,
} from './settings_sections.js';

/** Values of the settings sections that all roles share. */
export type CommonValues = FileValues<typeof COMMON_SECTIONS>;

/** A validated settings file of one role. */
export interface LoadedSettings {
  readonly file: string;
  readonly values: CommonValues;
}

const TOKEN = {
  CLOCK: Symbol('clock'),
  DEFINITION: Symbol('definition'),
  LOG: Symbol('log'),
  METRICS: Symbol('metrics'),
  RANDOM: Symbol('random'),
  SETTINGS: Symbol('settings'),
} as const;

/** Runs one role as the process. */
@injectable()
export class RoleProcess {
  readonly #definition: RoleDefinition;
  readonly #settings: LoadedSettings;
  readonly #clock: Clock;
  readonly #log: RoarrLogger;
  readonly #random: Random;
  readonly #metrics: MetricsRegistry;

  constructor(
    @inject(TOKEN.DEFINITION) definition: RoleDefinition,
    @inject(TOKEN.SETTINGS) settings: LoadedSettings,
    @inject(TOKEN.CLOCK) clock: Clock,
    @inject(TOKEN.LOG) log: RoarrLogger,
    @inject(TOKEN.RANDOM) random: Random,
    @inject(TOKEN.METRICS) metrics: MetricsRegistry,
  ) {
    this.#definition = definition;
    this.#settings = settings;
    this.#clock = clock;
    this.#log = log;
    this.#random = random;
    this.#metrics = metrics;
  }

  /**
   * Runs until a signal ends the process.
   *
   * @returns the exit code
   */
  async run(): Promise<ExitCode> {
    const dependencies = {
      clock: this.#clock,
      log: this.#log,
      random: this.#random,
      metrics: this.#metrics,
    };
    const {file, values} = this.#settings;
    const role = await this.#definition.createRole(values, dependencies);
    const {role: kind, name} = values.process;
    registerProcessMetrics(this.#metrics);
    registerRoleMetrics(this.#metrics, [{kind, name, role}]);
    const reloader = new SettingsReloader(
      file,
      this.#definition.schema,
      values,
      this.#log,
    );
    const runner = new ProcessRunner(toProcessSettings(values.platform), {
      ...dependencies,
      role,
      reload: running => {
        reloader.reload(running);
      },
    });
    return runner.run();
  }
}

function makeRandom({seed}: ProcessValues, clock: Clock): Random {
  return new Random(seed ?? (clock.wallTime() ^ process.pid) >>> 0);
}

function registerDependencies(
  child: DependencyContainer,
  {process: identity, platform}: CommonValues,
): void {
  const {role, name} = identity;
  const clock = new SystemClock();
  child.register(TOKEN.CLOCK, {useValue: clock});
  child.register(TOKEN.RANDOM, {useValue: makeRandom(identity, clock)});
  child.register(TOKEN.METRICS, {useValue: new MetricsRegistry()});
  child.register(TOKEN.LOG, {
    useValue: new RoarrLogger(platform.logLevel, {role, name}),
  });
}

/**
 * @param definition the role
 * @param settings its validated settings file
 * @returns the process, not started yet
 */
export function composeRoleProcess(
  definition: RoleDefinition,
  settings: LoadedSettings,
): RoleProcess {
  const child = container.createChildContainer();
  registerDependencies(child, settings.values);
  child.register(TOKEN.DEFINITION, {useValue: definition});
  child.register(TOKEN.SETTINGS, {useValue: settings});
  return child.resolve(RoleProcess);
}

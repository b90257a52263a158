/**
 * Validates operators' configuration changes before they are proposed.
 */
import {createHash} from 'node:crypto';
import {
  checkConfiguration,
  type ConfigurationContent,
  type ConfigurationFault,
  type ConfigurationSection,
  type NamedObject,
  needsApiKeys,
} from '@lovagepond/core';
import {
  type ChangeAnswer,
  type ChangeRequest,
  type RequestedChange,
} from './control_administration.js';
import {CHANGE_COMMAND, type ChangePayload} from './control_commands.js';
import {
  type ConfigurationEdit,
  diffConfigurations,
  editConfiguration,
} from './configuration_edit.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type OperationResult} from './operation_results.js';
import {type Proposer} from './proposer.js';

/** A change that an operator requests, or a restore of a revision. */
export type AnyChange =
  RequestedChange | {readonly kind: 'restore'; readonly revision: number};

/** A request for a change or a restore. */
export type AnyChangeRequest = Omit<ChangeRequest, 'change'> & {
  readonly change: AnyChange;
};

type CheckResult =
  | {readonly ok: true; readonly edit: ConfigurationEdit}
  | {readonly ok: false; readonly faults: readonly ConfigurationFault[]};

const OBJECT_PLACE = /^([A-Za-z]+)\[(\d+)\]/;

/** Validates and proposes configuration changes, and builds the answers. */
export class ConfigurationChanger {
  readonly #machine: ControlStateMachine;
  readonly #proposer: Proposer;

  constructor(machine: ControlStateMachine, proposer: Proposer) {
    this.#machine = machine;
    this.#proposer = proposer;
  }

  /**
   * @param req the change
   * @returns the answer; for a retry under the same operation id, the first one
   */
  async change(req: AnyChangeRequest): Promise<ChangeAnswer> {
    // The change is validated against its base revision, so this member must
    // have applied that revision.
    if (!(await this.#proposer.confirm())) {
      return {kind: 'notLeader', leader: this.#proposer.leaderAddress()};
    }
    const ran = this.#machine.operations.has(req.operationId);
    const checked = this.#check(req);
    if (!ran && !checked.ok) return {kind: 'invalid', faults: checked.faults};
    if (req.dryRun) return this.#dryRun(req, checked);
    return this.#propose(req, checked);
  }

  #check(req: AnyChangeRequest): CheckResult {
    if (req.operationId === '') {
      return reject('operationId', 'an operation id is needed');
    }
    const {configuration} = this.#machine;
    const current = configuration.current.read();
    if (req.change.kind === 'replace') {
      return checkContent(req.change.content, current.content);
    }
    const edit = req.change as ConfigurationEdit;
    // Applying the change yields a conflict, and this member may not have the
    // base revision to validate against.
    if (req.baseRevision !== current.revision) return {ok: true, edit};
    const edited = editConfiguration(edit, current.content, revision =>
      configuration.find(revision),
    );
    if (!edited) return reject('change', 'what it names is not there');
    return checkEdit(edit, edited, current.content);
  }

  #dryRun(req: AnyChangeRequest, checked: CheckResult): ChangeAnswer {
    const {configuration} = this.#machine;
    const {revision, content} = configuration.current.read();
    if (req.baseRevision !== revision) {
      return this.#conflict(req.baseRevision, revision);
    }
    const edited = checked.ok ? configuration.edit(checked.edit) : undefined;
    const differences = diffConfigurations(content, edited ?? content);
    return {kind: 'accepted', revision: revision + 1, differences};
  }

  async #propose(
    req: AnyChangeRequest,
    checked: CheckResult,
  ): Promise<ChangeAnswer> {
    const {operationId, baseRevision, change} = req;
    const edit = checked.ok ? checked.edit : (change as ConfigurationEdit);
    const digest = digestOf([baseRevision, change]);
    const answer = await this.#proposer.propose<ChangePayload, OperationResult>(
      CHANGE_COMMAND,
      {operationId, digest, baseRevision, edit},
    );
    if (answer.kind !== 'committed') return answer;
    return this.#answer(answer.value);
  }

  #answer(result: OperationResult): ChangeAnswer {
    const {configuration} = this.#machine;
    if (result.kind === 'accepted') {
      const {revision} = result;
      const differences = configuration.differences(revision - 1, revision);
      return {kind: 'accepted', revision, differences};
    }
    if (result.kind === 'conflict') {
      return this.#conflict(result.baseRevision, result.currentRevision);
    }
    const faults = [describeRefusal(result)];
    return {kind: 'invalid', faults};
  }

  #conflict(baseRevision: number, currentRevision: number): ChangeAnswer {
    const {configuration} = this.#machine;
    return {
      kind: 'conflict',
      currentRevision,
      differences: configuration.differences(baseRevision, currentRevision),
    };
  }
}

/**
 * @param content any JSON value
 * @returns a digest that distinguishes operations under the same id
 */
export function digestOf(content: unknown): string {
  const text = JSON.stringify(content);
  return createHash('sha256').update(text).digest('base64').slice(0, 22);
}

/**
 * @param result a result that is neither accepted nor a conflict
 * @returns the fault to report
 */
export function describeRefusal(
  result: Extract<OperationResult, {kind: 'missing' | 'operationReuse'}>,
): ConfigurationFault {
  if (result.kind === 'missing') {
    return {place: result.place, message: 'is not there'};
  }
  return {place: 'operationId', message: 'belongs to another operation'};
}

function reject(place: string, message: string): CheckResult {
  return {ok: false, faults: [{place, message}]};
}

function checkContent(
  content: unknown,
  current: ConfigurationContent,
): CheckResult {
  const check = checkConfiguration(content);
  if (!check.ok) return check;
  if (losesApiKeys(current, check.content)) return KEYS_LOST;
  return {ok: true, edit: {kind: 'replace', content: check.content}};
}

/** A change must say so if requests are to need no API key any more. */
const KEYS_LOST = reject(
  'requiresApiKeys',
  'no workspace has API keys any more: set it to true or false',
);

function losesApiKeys(
  before: ConfigurationContent,
  after: ConfigurationContent,
): boolean {
  const isUnsaid = after.requiresApiKeys === undefined;
  return isUnsaid && needsApiKeys(before) && !needsApiKeys(after);
}

/** Validates the edited configuration, and fills defaults into the edit. */
function checkEdit(
  edit: ConfigurationEdit,
  edited: ConfigurationContent,
  current: ConfigurationContent,
): CheckResult {
  const check = checkConfiguration(edited);
  if (!check.ok) {
    const faults = check.faults.map(fault => addObjectName(fault, edited));
    return {ok: false, faults};
  }
  // A restore names the revision whose rules are wanted.
  const mayLoseKeys = edit.kind === 'restore';
  if (!mayLoseKeys && losesApiKeys(current, check.content)) return KEYS_LOST;
  if (edit.kind !== 'put') return {ok: true, edit};
  const items: readonly NamedObject[] = check.content[edit.section];
  const object = items.find(item => item.name === edit.object.name);
  return object
    ? {ok: true, edit: {...edit, object}}
    : reject(edit.section, 'the object has no name');
}

/** Adds the object's name to a fault at, for example, `selectors[2].pools`. */
function addObjectName(
  fault: ConfigurationFault,
  edited: ConfigurationContent,
): ConfigurationFault {
  const [, section, index] = OBJECT_PLACE.exec(fault.place) ?? [];
  if (section === undefined || index === undefined) return fault;
  const items: readonly NamedObject[] | undefined =
    edited[section as ConfigurationSection];
  const item = items?.[Number.parseInt(index, 10)];
  if (!item) return fault;
  return {...fault, message: `"${item.name}": ${fault.message}`};
}

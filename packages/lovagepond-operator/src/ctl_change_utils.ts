/**
 * Reads the configuration, sends changes to it and formats the result for
 * `ctl`.
 */
import {type ChangeAnswer} from '@lovagepond/control';
import {type Configuration} from '@lovagepond/core';
import {formatDifference, parseCount} from './ctl_format_utils.js';
import {type CtlCall, type CtlOutput} from './ctl_types.js';
import {type ChangeCall} from './operator_client.js';

type Accepted = Extract<ChangeAnswer, {kind: 'accepted'}>;

/** Options of every command that changes the configuration. */
export const CHANGE_OPTIONS = [
  ['--dry-run', 'validate and show the differences only'],
  ['--base <revision>', 'revision the change is based on (default: current)'],
  ['--operation-id <id>', 'retry an earlier call whose answer was lost'],
] as const;

/**
 * Options of commands that change wanted states, orders or quarantine. These
 * have no base revision and no dry run.
 */
export const OPERATION_OPTIONS = [
  ['--operation-id <id>', 'retry an earlier call whose answer was lost'],
] as const;

/**
 * Reads the configuration that a change is based on: the revision of `--base`,
 * or the current one. Control refuses a different change with the same operation
 * id, so a retry must name the base revision of the first attempt.
 *
 * @param call the run of the command
 * @returns the configuration of the base revision
 */
export async function readConfiguration(call: CtlCall): Promise<Configuration> {
  const {base} = call.options;
  const path =
    base === undefined
      ? '/v1/configuration'
      : `/v1/history/${parseCount(base, '--base')}`;
  return (await call.client.read(path)) as Configuration;
}

/**
 * Sends a change of the configuration.
 *
 * @param call the run of the command
 * @param change method, path and body of the HTTP request
 * @param baseRevision the revision that the change is based on
 * @returns the output of the command
 */
export async function sendChange(
  call: CtlCall,
  change: Pick<ChangeCall, 'method' | 'path' | 'body'>,
  baseRevision: number,
): Promise<CtlOutput> {
  const {dryRun = false} = call.options;
  const operationId = operationIdOf(call);
  const accepted = (await call.client.change({
    ...change,
    operationId,
    baseRevision,
    dryRun,
  })) as Accepted;
  const verb = dryRun ? 'would become' : 'is';
  const lines = [
    ...accepted.differences.flatMap(formatDifference),
    `the configuration ${verb} revision ${accepted.revision}`,
  ];
  return {json: {...accepted, operationId, dryRun}, lines};
}

/**
 * @param call the run of the command
 * @returns the operation id from the options, or a new one
 */
export function operationIdOf(call: CtlCall): string {
  return call.options.operationId ?? call.io.createOperationId();
}

/**
 * Decodes routers' reports of crashes, and encodes the list of suspects that
 * control sends to all routers.
 */
import {
  CRASH_RULES,
  type CrashRules,
  partIdOf,
  toPartSubject,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {type SuspectView} from './control_administration.js';
import {type CrashesPayload} from './control_commands.js';

type WireReport = lovagepond.v1.CrashReport.$Properties;
type WireCrash = lovagepond.v1.CrashedServer.$Properties;

/** Bytes of a fingerprint; values of another length are dropped as invalid. */
const FINGERPRINT_BYTES = 16;

/** Limits of one report; the router sends the rest with its next report. */
const MAX_CRASHES = 64;
const MAX_FINGERPRINTS = 512;
const MAX_ANSWERED_PARTS = 4_096;

/**
 * @param report a router's report
 * @param rules the rules by which all members count
 * @returns the payload of the command that records the report
 */
export function toCrashesPayload(
  {crashes, answered, answeredParts}: WireReport,
  rules: CrashRules,
): CrashesPayload {
  const parts = (answeredParts ?? []).slice(0, MAX_ANSWERED_PARTS);
  const subjects = [...toFingerprints(answered), ...parts.map(toPartSubject)];
  return {
    crashes: (crashes ?? [])
      .slice(0, MAX_CRASHES)
      .map(crash => toCrash(crash, rules)),
    answered: subjects,
  };
}

function toCrash(
  {backendServer, requests, parts, ageMs}: WireCrash,
  rules: CrashRules,
): CrashesPayload['crashes'][number] {
  const running = (requests ?? []).slice(0, MAX_FINGERPRINTS);
  return {
    server: backendServer ?? '',
    requests:
      rules === CRASH_RULES.BY_SUBJECT
        ? running
            .map((bytes, at) => [
              ...toFingerprints([bytes]),
              ...(parts?.[at]?.ids ?? []).map(toPartSubject),
            ])
            .filter(({length}) => length > 0)
        : toFingerprints(running),
    ageMs: ageMs ?? 0,
  };
}

function toFingerprints(
  all: readonly Uint8Array[] | null | undefined,
): string[] {
  return (all ?? [])
    .filter(({length}) => length === FINGERPRINT_BYTES)
    .slice(0, MAX_FINGERPRINTS)
    .map(bytes => Buffer.from(bytes).toString('hex'));
}

/**
 * @param suspects all suspects
 * @returns the update for routers
 */
export function toQuarantineUpdate(
  suspects: readonly SuspectView[],
): lovagepond.v1.QuarantineUpdate.$Properties {
  return {
    suspects: suspects.flatMap(toWireSuspect),
    parts: suspects.flatMap(toWirePart),
  };
}

function toWireSuspect({
  request,
  crashes,
  quarantinedForMs: forMs,
}: SuspectView): lovagepond.v1.SuspectedRequest.$Properties[] {
  if (partIdOf(request) !== undefined) return [];
  const quarantinedForMs = Math.ceil(forMs);
  return [{request: Buffer.from(request, 'hex'), crashes, quarantinedForMs}];
}

function toWirePart({
  request,
  crashes,
  quarantinedForMs: forMs,
  companions: subjects,
}: SuspectView): lovagepond.v1.SuspectedPart.$Properties[] {
  const id = partIdOf(request);
  if (id === undefined) return [];
  const companions = subjects.flatMap(subject => partIdOf(subject) ?? []);
  return [{id, crashes, quarantinedForMs: Math.ceil(forMs), companions}];
}

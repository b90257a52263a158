import {assert, constantFrom, integer, property, uniqueArray} from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ControlAddresses} from '../../core_control_addresses.js';
import {Random} from '../../core_random.js';

const address = constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h');
const addresses = uniqueArray(address, {maxLength: 8});
const seed = integer();

/** @returns the addresses selected in the given number of steps */
function selectRepeatedly(members: ControlAddresses, steps: number): string[] {
  return Array.from({length: steps}, () => {
    members.selectNext();
    return members.current;
  });
}

describe('ControlAddresses', () => {
  // When all members but one are gone, each has to be tried once before any is
  // tried again.
  it('selects each known member once before any twice', () => {
    assert(
      property(addresses, addresses, seed, (configured, discovered, number) => {
        const members = new ControlAddresses(configured, new Random(number));
        members.setDiscovered(discovered);
        members.noteContact();
        const all = new Set([...configured, ...discovered]);
        const others = [...all].filter(other => other !== members.current);
        const visited = selectRepeatedly(members, others.length);
        expect(visited.sort()).toEqual(others.sort());
      }),
    );
  });

  it('selects discovered members before configured ones', () => {
    const members = new ControlAddresses(['a', 'b'], new Random(1));
    members.setDiscovered(['c', 'd']);
    expect(selectRepeatedly(members, 2).sort()).toEqual(['c', 'd']);
  });

  it('starts over when all members have failed', () => {
    const members = new ControlAddresses(['a', 'b'], new Random(1));
    const visited = selectRepeatedly(members, 6);
    expect(visited.filter(one => one === 'a')).toHaveLength(3);
  });

  it('keeps the only known member', () => {
    const members = new ControlAddresses(['a'], new Random(1));
    expect(selectRepeatedly(members, 3)).toEqual(['a', 'a', 'a']);
  });

  it('keeps the discovered members when a member reports none', () => {
    const members = new ControlAddresses(['a'], new Random(1));
    members.setDiscovered(['b']);
    members.setDiscovered([]);
    expect(selectRepeatedly(members, 1)).toEqual(['b']);
  });

  it('spreads processes with different seeds over the members', () => {
    const next = Array.from({length: 32}, (_, number) => {
      const members = new ControlAddresses(['a', 'b', 'c'], new Random(number));
      return members.current;
    });
    expect(new Set(next).size).toBe(3);
  });
});

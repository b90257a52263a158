import {assert, constantFrom, integer, property, uniqueArray} from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ControlAddresses} from '../../core_control_addresses.js';
import {Random} from '../../core_random.js';

const address = constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h');
const addresses = uniqueArray(address, {maxLength: 8});
const seed = integer();

/** @returns the addresses selected in the given number of steps */
function selectRepeatedly(control: ControlAddresses, steps: number): string[] {
  return Array.from({length: steps}, () => {
    control.selectNext();
    return control.current;
  });
}

describe('ControlAddresses', () => {
  // When all members but one are gone, each has to be tried once before any is
  // tried again.
  it('selects each known member once before any twice', () => {
    assert(
      property(addresses, addresses, seed, (fromSettings, named, number) => {
        const known = new ControlAddresses(fromSettings, new Random(number));
        known.setDiscovered(named);
        known.noteContact();
        const all = new Set([...fromSettings, ...named]);
        const others = [...all].filter(other => other !== known.current);
        const visited = selectRepeatedly(known, others.length);
        expect(visited.sort()).toEqual(others.sort());
      }),
    );
  });

  it('selects discovered members before configured ones', () => {
    const known = new ControlAddresses(['a', 'b'], new Random(1));
    known.setDiscovered(['c', 'd']);
    expect(selectRepeatedly(known, 2).sort()).toEqual(['c', 'd']);
  });

  it('starts over when all members have failed', () => {
    const known = new ControlAddresses(['a', 'b'], new Random(1));
    const visited = selectRepeatedly(known, 6);
    expect(visited.filter(one => one === 'a')).toHaveLength(3);
  });

  it('keeps the only known member', () => {
    const known = new ControlAddresses(['a'], new Random(1));
    expect(selectRepeatedly(known, 3)).toEqual(['a', 'a', 'a']);
  });

  it('keeps the discovered members when a member reports none', () => {
    const known = new ControlAddresses(['a'], new Random(1));
    known.setDiscovered(['b']);
    known.setDiscovered([]);
    expect(selectRepeatedly(known, 1)).toEqual(['b']);
  });

  it('spreads processes that lost the same member over the others', () => {
    const next = Array.from({length: 32}, (_, number) => {
      const known = new ControlAddresses(['a', 'b', 'c'], new Random(number));
      return known.current;
    });
    expect(new Set(next).size).toBe(3);
  });
});

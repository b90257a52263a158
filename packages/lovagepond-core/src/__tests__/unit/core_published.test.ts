import {describe, expect, it} from 'vitest';
import {CommandBus, createCommand} from '../../core_commands.js';
import {InvariantError} from '../../core_invariant.js';
import {Published} from '../../core_published.js';
import {mergeRegister} from '../../core_registration.js';

describe('Published', () => {
  it('passes the new and the previous state to listeners', () => {
    const published = new Published({revision: 1});
    const seen: number[][] = [];
    const unregister = published.register((state, former) => {
      seen.push([former.revision, state.revision]);
    });
    published.update(current => ({revision: current.revision + 1}));
    published.update(current => current);
    unregister();
    published.update(() => ({revision: 9}));
    expect(seen).toEqual([[1, 2]]);
  });

  it('rejects an update inside an update and keeps the state', () => {
    const published = new Published({revision: 1});
    const nested = (): void => {
      published.update(current => published.update(() => current));
    };
    expect(nested).toThrow(InvariantError);
    expect(published.read()).toEqual({revision: 1});
    published.update(() => ({revision: 2}));
    expect(published.read()).toEqual({revision: 2});
  });

  it('returns state that cannot be changed', () => {
    const state = new Published({revision: 1}).read();
    expect(() => {
      state.revision = 2;
    }).toThrow(TypeError);
  });
});

describe('CommandBus', () => {
  const greet = createCommand<{name: string}>('greet');

  it('stops at the first listener that handles a command', () => {
    const bus = new CommandBus();
    const seen: string[] = [];
    const unregister = mergeRegister(
      bus.register(greet, ({name}) => {
        seen.push(`first ${name}`);
        return name === 'a';
      }),
      bus.register(greet, ({name}) => {
        seen.push(`second ${name}`);
        return false;
      }),
    );
    expect(bus.dispatch(greet, {name: 'a'})).toBe(true);
    expect(bus.dispatch(greet, {name: 'b'})).toBe(false);
    unregister();
    unregister();
    expect(bus.dispatch(greet, {name: 'a'})).toBe(false);
    expect(seen).toEqual(['first a', 'first b', 'second b']);
  });
});

// Runs the main job with separate processes, each started from its own file in
// examples/loopback: two routers, three sidecars with a fake model engine each,
// and one control member. A chat is streamed through one router, and its next
// turn through the other.
import {Fleet, streamChat} from './fleet_processes.mjs';

const FIRST_QUESTION = 'Which voucher fits a garden in spring? '.repeat(20);

/** @param {string} router @param {object} answer */
function describe(router, {status, text, whole, cachedTokens}) {
  const end = whole ? 'whole' : 'cut off';
  console.log(
    `${router}: status ${status}, ${text.length} characters, ${end}, ` +
      `${cachedTokens} prompt tokens from the cache`,
  );
}

const fleet = new Fleet();
try {
  await fleet.start('examples/loopback');
  const chat = {workspace: 'demo', chat: 'chat-1'};
  const question = {role: 'user', content: FIRST_QUESTION};
  const first = await streamChat(fleet.callersUrl('router-1'), {
    ...chat,
    messages: [question],
  });
  describe('router-1', first);
  const second = await streamChat(fleet.callersUrl('router-2'), {
    ...chat,
    messages: [
      question,
      {role: 'assistant', content: first.text},
      {role: 'user', content: 'And in autumn?'},
    ],
  });
  describe('router-2', second);
  const ok = first.whole && second.whole && second.cachedTokens > 0;
  console.log(ok ? 'the chat found its context warm' : 'the chat was cold');
  process.exitCode = ok ? 0 : 1;
  if (!ok) for (const output of fleet.outputs()) console.log(output);
} catch (err) {
  for (const output of fleet.outputs()) console.log(output);
  throw err;
} finally {
  await fleet.end();
}

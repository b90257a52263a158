/**
 * Answers the calls of routers and of other sidecars.
 */
import {type Clock} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {type Backend} from './sidecar_backend.js';
import {type SidecarDispatcher} from './sidecar_dispatcher.js';
import {type SidecarGate} from './sidecar_gate.js';
import {type FrameHead, type SidecarHandlers} from './sidecar_server.js';
import {type FrameStream, type SidecarSession} from './sidecar_session.js';

const {v1} = lovagepond;

export interface ServiceDependencies {
  readonly gate: SidecarGate;
  readonly dispatcher: SidecarDispatcher;
  readonly backend: Backend;
  readonly clock: Clock;
  readonly incarnation: string;
  /** @returns the revision in force */
  revision(): number;
  /** @param bytes an encoded configuration from a router */
  install(bytes: Uint8Array): void;
}

/** Implements the sidecar's gRPC service. */
export class SidecarService implements SidecarHandlers {
  readonly #deps: ServiceDependencies;

  constructor(deps: ServiceDependencies) {
    this.#deps = deps;
  }

  frameHead(): FrameHead {
    const {gate, clock, incarnation} = this.#deps;
    const {runningTokens, queuedTokens} = gate.load(clock.now());
    const revision = this.#deps.revision();
    return {incarnation, revision, runningTokens, queuedTokens};
  }

  offer(
    request: lovagepond.v1.AttemptRequest,
    stream: FrameStream,
  ): SidecarSession | undefined {
    return this.#deps.dispatcher.offer(request, stream);
  }

  streamClosed(session: SidecarSession, stream: FrameStream): void {
    this.#deps.dispatcher.streamClosed(session, stream);
  }

  revoke(
    request: lovagepond.v1.RevokeRequest.$Properties,
  ): lovagepond.v1.RevokeResponse {
    // The attempts of a former incarnation are not recorded here.
    const own = request.incarnation === this.#deps.incarnation;
    const outcome = own
      ? this.#deps.dispatcher.revoke(request.attemptId ?? '')
      : 'unknown';
    return new v1.RevokeResponse({outcome});
  }

  probe(): lovagepond.v1.ProbeResponse {
    const {draining} = this.#deps.gate;
    return new v1.ProbeResponse({...this.frameHead(), draining});
  }

  install(
    request: lovagepond.v1.InstallRequest.$Properties,
  ): lovagepond.v1.InstallResponse {
    if (request.configuration) this.#deps.install(request.configuration);
    return new v1.InstallResponse({revision: this.#deps.revision()});
  }

  async moveCache(
    request: lovagepond.v1.MoveCacheRequest.$Properties,
  ): Promise<lovagepond.v1.MoveCacheResponse> {
    const accepted = await this.#importCache(request);
    return new v1.MoveCacheResponse({accepted});
  }

  point(
    request: lovagepond.v1.PointerRequest.$Properties,
  ): lovagepond.v1.PointerResponse {
    const {workspace = '', chat = '', backendServer = ''} = request;
    const {gate, clock} = this.#deps;
    if (workspace && chat && backendServer) {
      gate.pointers.put(workspace, chat, backendServer, clock.now());
    }
    return new v1.PointerResponse();
  }

  take(
    request: lovagepond.v1.TakeRequest.$Properties,
  ): lovagepond.v1.TakeResponse {
    const {taker, roomTokens} = request;
    const {gate, dispatcher, clock} = this.#deps;
    if (!taker) return new v1.TakeResponse();
    const handOver = gate.handOver(taker, roomTokens ?? 0, clock.now());
    dispatcher.perform(handOver.actions);
    const {attemptIds, tokens} = handOver;
    return new v1.TakeResponse({attemptIds: [...attemptIds], tokens});
  }

  async #importCache(
    request: lovagepond.v1.MoveCacheRequest.$Properties,
  ): Promise<boolean> {
    const {backend, gate} = this.#deps;
    const {workspace, chat, cache, tokens} = request;
    if (!workspace || !chat || !cache || gate.draining) return false;
    if (backend.kind !== 'engine') return false;
    const size = tokens ?? 0;
    const content = {tokens: size, bytes: cache};
    const result = await backend.engine.importCache({workspace, chat}, content);
    if (!result.ok || !result.value) return false;
    gate.cache.noteServed(workspace, chat, size);
    // The pointer may still name the draining server that sent the cache.
    gate.pointers.remove(workspace, chat);
    return true;
  }
}

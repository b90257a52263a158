/**
 * Performs the actions of group formation at one member.
 */
import {
  type Formation,
  type FormationAction,
  FORWARDED_ROUND,
} from './consensus_formation.js';
import {type JoiningHost} from './consensus_member_replacement.js';
import {
  type FormationMessage,
  type HelloRequest,
} from './consensus_messages.js';
import {
  type ConsensusStatus,
  type Member,
  MEMBER_ROLE,
  type MemberList,
} from './consensus_types.js';

export interface FormationPerformerDependencies {
  send(address: string, message: FormationMessage): void;
  status(): ConsensusStatus;
  bootstrap(members: MemberList): void;
  /** Called on the leader when a host asks to join. */
  join(host: JoiningHost): void;
}

type Handlers = {
  readonly [Kind in FormationAction['kind']]: (
    action: Extract<FormationAction, {kind: Kind}>,
  ) => void;
};

export class FormationPerformer {
  readonly #dependencies: FormationPerformerDependencies;
  readonly #handlers: Handlers = {
    send: ({address, message}) => {
      this.#dependencies.send(address, message);
    },
    bootstrap: ({members}) => {
      this.#dependencies.bootstrap(members);
    },
    join: ({hello}) => {
      this.#join(hello);
    },
  };

  /** @param dependencies functions to call */
  constructor(dependencies: FormationPerformerDependencies) {
    this.#dependencies = dependencies;
  }

  /** @param formation the formation whose pending actions are performed */
  perform(formation: Formation): void {
    for (const action of formation.takeActions()) {
      const handler = this.#handlers[action.kind] as (
        action: FormationAction,
      ) => void;
      handler(action);
    }
  }

  #join(hello: HelloRequest): void {
    const {role, leader} = this.#dependencies.status();
    const {from: id, fromAddress: address, blank, observer} = hello;
    const isForwarded = hello.round === FORWARDED_ROUND;
    if (role === MEMBER_ROLE.LEADER) {
      this.#dependencies.join({id, address, blank, observer});
    } else if (leader && !isForwarded) this.#forward(hello, leader);
  }

  /**
   * Forwards a join request, as the joining host may know only followers.
   * Without the leader it would wait forever, the lost voter would keep
   * counting towards the quorum, and the next loss would cost the majority.
   */
  #forward(hello: HelloRequest, leader: Member): void {
    this.#dependencies.send(leader.address, {...hello, round: FORWARDED_ROUND});
  }
}

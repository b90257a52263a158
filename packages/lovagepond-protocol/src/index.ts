export {readMember, readServer} from './protocol_membership.js';
export {
  CONSENSUS_SERVICE,
  CONTROL_SERVICE,
  lovagepond,
  SIDECAR_SERVICE,
} from './protocol_services.js';

export {
  DEFAULT_HEADER_NAMES,
  type GatewayHeaderNames,
} from './gateway_headers.js';
export {type GatewayDependencies, GatewayRole} from './gateway_role.js';
export {
  DEFAULT_GATEWAY_SETTINGS,
  type GatewaySettings,
} from './gateway_settings.js';

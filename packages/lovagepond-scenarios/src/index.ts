import './world/scenario_world.js';
import './steps/consensus_steps.js';
import './steps/gate_steps.js';
import './steps/load_bound_steps.js';
import './steps/operator_steps.js';
import './steps/order_steps.js';
import './steps/redemption_steps.js';
import './steps/request_steps.js';

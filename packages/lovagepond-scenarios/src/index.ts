import './world/scenario_world.js';
import './steps/load_bound_steps.js';

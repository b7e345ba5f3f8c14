/** The two example deployments. */
export { listarama } from './listarama/configuration.js';
export { tallinn } from './tallinn/configuration.js';

//! One balancer from its start to its end. What signals mean, and where the configuration lies, is the
//! program's to say.

use std::collections::BTreeSet;
use std::future::Future;
use std::rc::Rc;

use hollowpaddle_net::{Listener, Network};
use hollowpaddle_operator_commands::{OperatorStateCopy, RecoveredCopy};
use hollowpaddle_policy::learned::Learned;
use hollowpaddle_revision::fleet::ClassFacts;
use tokio::sync::{mpsc, oneshot};

use crate::admin::{Operated, Operating, Operators};
use crate::clients::Front;
use crate::cluster::admin_api::{AdminRequest, AdminResponse, facts};
use crate::cluster::{AdminCall, ClusterHandle, PolicyReader};
use crate::config::Config;
use crate::engine::{Door, Engine, EngineError};
use crate::members::List;
use crate::state_store::{Keeper, Kept, Recovered};
use crate::tasks::AbortOnDrop;
use crate::upstreams::Pool;

/// What a balancer is given beside its sockets; nothing of it is needed to serve.
#[derive(Default)]
pub struct Provided {
    /// How operators come.
    pub operating: Operating,
    /// What outlives the process.
    pub kept: Option<Kept>,
    /// What balancers agree on.
    pub cluster: Option<ClusterHandle>,
}

/// Why a balancer did not serve to its end.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// Without the engine nothing is ever answered well again; a restart is better.
    #[error("the engine ended")]
    EngineEnded,
}

/// What operators do reaches the engine and the front.
struct Machine {
    engine: Door,
    front: Rc<Front>,
    keeper: Option<Rc<Keeper>>,
    cluster: Option<AdminClient>,
}

/// How operators' calls reach the bank.
struct AdminClient {
    calls: mpsc::UnboundedSender<AdminCall>,
    classes: Vec<ClassFacts>,
}

impl Operated for Machine {
    fn ready(&self) -> bool {
        self.engine.ready()
    }
    fn heard(&self) -> bool {
        self.engine.heard()
    }
    fn has_named(&self, name: String) -> impl Future<Output = bool> {
        self.engine.has_named(name)
    }
    fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool> {
        self.engine.cordon(names)
    }
    fn quiesce(&self, quiesced: bool) {
        self.front.quiesce(quiesced);
    }
    fn learned(&self) -> impl Future<Output = Option<Learned>> {
        self.engine.learned()
    }
    fn recall(&self, learned: Learned) {
        self.engine.recall(learned);
    }
    fn start(&self) -> serde_json::Value {
        let nothing = || serde_json::json!({"ok": true, "keeps": false});
        let mut start = self.keeper.as_ref().map_or_else(nothing, |k| k.told());
        start["list_expired"] = self.engine.is_list_expired().into();
        start["violations"] = self.engine.violations().counts();
        start
    }
    fn copied(&self) -> RecoveredCopy {
        self.keeper.as_ref().map_or(RecoveredCopy::Absent, |k| k.copied())
    }
    fn copy(&self, words: OperatorStateCopy) {
        if let Some(keeper) = &self.keeper {
            keeper.copy(words);
        }
    }
    fn is_banked(&self) -> bool {
        self.cluster.is_some()
    }
    async fn ask(&self, ask: AdminRequest) -> Option<AdminResponse> {
        let cluster = self.cluster.as_ref()?;
        let (mut members, mut from) = (Vec::new(), Some(0));
        while let Some(at) = from {
            let (mut part, _) = self.engine.list(at).await?;
            members.append(&mut part.members);
            from = part.next;
        }
        let (reply, answer) = oneshot::channel();
        cluster
            .calls
            .send(AdminCall { ask, facts: facts(&members, &cluster.classes), reply })
            .ok()?;
        answer.await.ok()
    }
}

/// Serves clients on `listener`, and reaches all else by `network`, until `stop`, then finishes what was taken. Each
/// configuration that comes on `reloads` moves the watch to the discovery it names.
/// Must run inside a `LocalSet`.
pub async fn serve(
    mut config: Config,
    network: Rc<dyn Network>,
    listener: Box<dyn Listener>,
    provided: Provided,
    mut reloads: mpsc::UnboundedReceiver<Config>,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let Provided { operating, kept, cluster } = provided;
    let budget = config.budget();
    let pool = Pool::new(budget.upstreams, &config, network.clone());
    let started = network.unix_now();
    let meaning = config.facts.meaning();
    let recovered = kept.map(|kept| Recovered::read(kept, started, &config.known, meaning));
    let (recovered, restored_list) =
        recovered.map_or((None, None), |(all, list)| (Some(all), list));
    let admin_client = cluster
        .as_ref()
        .map(|link| AdminClient { calls: link.calls.clone(), classes: classes(&config) });
    let (reader, news) = cluster.map_or((None, None), |link| (Some(link.reader), Some(link.news)));
    let reader = reader.map(|r| Rc::new(r) as Rc<dyn PolicyReader>);
    let (engine, handle) = Engine::new(&config, restored_list, pool, network, reader)?;
    // The engine has its own records of it; the rest of the configuration stays for as long as this serves.
    config.known = List::default();
    let mut engine = AbortOnDrop(tokio::task::spawn_local(engine.run()));
    let tell = handle.banker();
    let _news = news.map(|mut news| {
        AbortOnDrop(tokio::task::spawn_local(async move {
            while let Some(news) = news.recv().await {
                tell(news);
            }
        }))
    });
    let reload = handle.reloader();
    let _reloads = AbortOnDrop(tokio::task::spawn_local(async move {
        while let Some(new) = reloads.recv().await {
            reload(new.discovery);
        }
    }));
    let engine_door = handle.door();
    // Before any client comes: what is gone on from is there for the first.
    let keeper = recovered.map(|all| Keeper::start(all, handle.door()));
    let _keeps = keeper.clone().map(|k| AbortOnDrop(tokio::task::spawn_local(k.follow())));
    let front = Rc::new(Front::new(&config, handle, &budget));
    let machine = Machine {
        engine: engine_door,
        front: front.clone(),
        keeper: keeper.clone(),
        cluster: admin_client,
    };
    let operators = Operators::join(machine, operating.store).await;
    let _follows = AbortOnDrop(tokio::task::spawn_local(operators.clone().follow()));
    let _calls = operating.listener.map(|listener| {
        AbortOnDrop(tokio::task::spawn_local(operators.clone().take_calls(listener)))
    });
    let serve = front.serve(listener, operators.opens(), stop, || operators.succeeded());
    let served = tokio::select! {
        biased;
        () = serve => Ok(()),
        _ = &mut engine.0 => Err(ServeError::EngineEnded),
    };
    if let (Ok(()), Some(keeper)) = (&served, keeper) {
        keeper.finish().await;
    }
    served
}

/// The classes of the settings, as rules are checked against them.
fn classes(config: &Config) -> Vec<ClassFacts> {
    let places = |places: &Option<Vec<u32>>| -> Vec<u8> {
        places.iter().flatten().filter_map(|p| u8::try_from(*p).ok()).collect()
    };
    let services = config.facts.services.iter();
    services
        .map(|s| ClassFacts {
            name: s.name.clone(),
            zones: places(&s.zones_allowed),
            machine_types: Vec::new(),
        })
        .collect()
}
